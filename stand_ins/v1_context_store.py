"""Stand-in of a context store with the ``/v1/`` API.

Only the soak uses it, in its own process.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from stand_ins.raw_http import RawRequest, RawServer, encode_response

MODEL = "m0"


class V1ContextStore:
    """Parts of prompts by cache salt and id, with events of their changes.

    Attributes
    ----------
    held
        Tokens of each part, by salt and id.
    events
        All events since the start, whose numbers begin at 1.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.server = RawServer(self.handle)
        self.host = ""
        self.port = 0
        self.epoch = int(time.time() * 1000)
        self.held: dict[tuple[str, str], int] = {}
        self.events: list[tuple[int, str, str, str, int, str]] = []
        self.changed = asyncio.Condition()

    @property
    def address(self) -> str:
        """Return the address at which the store listens."""
        return f"{self.host}:{self.port}"

    async def async_start(self, host: str) -> None:
        """Start listening on a free port."""
        self.host = host
        self.port = await self.server.async_start(host)

    async def async_save(self, salt: str, part: str, tokens: int) -> None:
        """Store a part; a part that is held stays as it is."""
        if (salt, part) not in self.held:
            self.held[(salt, part)] = tokens
            await self._async_record("+", salt, part, tokens)

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Respond to one call; return whether the connection stays open."""
        match request.path:
            case "/v1/kv-list":
                status, body = 200, self._contents()
            case "/v1/kv-events":
                status, body = 200, await self._async_events(request)
            case "/v1/kv-free":
                status, body = await self._async_free(json.loads(request.body)), {}
            case _:
                status, body = 404, {}
        writer.write(encode_response(status, json.dumps(body).encode()))
        return True

    def _state(self) -> dict[str, Any]:
        return {
            "epoch": self.epoch,
            "next": len(self.events),
            "clock_ms": time.monotonic() * 1000,
        }

    def _contents(self) -> dict[str, Any]:
        held = [[*part, tokens, MODEL] for part, tokens in self.held.items()]
        return {**self._state(), "held": held}

    async def _async_events(self, request: RawRequest) -> dict[str, Any]:
        since = int(request.query["since"])
        try:
            async with (
                asyncio.timeout(int(request.headers.get("wait-ms", "0")) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(lambda: len(self.events) > since)
        except TimeoutError:
            pass
        return {**self._state(), "lost": False, "events": self.events[since:]}

    async def _async_free(self, call: dict[str, Any]) -> int:
        is_late = call.get("until_ms", float("inf")) < time.monotonic() * 1000
        if is_late or call.get("epoch", self.epoch) != self.epoch:
            return 409
        for salt, part in call["parts"]:
            if self.held.pop((salt, part), None) is not None:
                await self._async_record("-", salt, part, 0)
        return 202

    async def _async_record(self, sign: str, salt: str, part: str, tokens: int) -> None:
        number = len(self.events) + 1
        self.events.append((number, sign, salt, part, tokens, MODEL))
        async with self.changed:
            self.changed.notify_all()
