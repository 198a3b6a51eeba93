"""Targets on real sockets with scripted answers, and a gateway before them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final

from gypsumsail.core.clock import SystemClock
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.models import Address, Call, RoutingDocument, TargetEntry
from gypsumsail.platform.calls import PlatformTargetCalls
from stand_ins.raw_http import (
    RawRequest,
    RawServer,
    encode_response,
    reset_connection,
)
from tests.gateway.common import RecordedReply, call, gateway

HOST: Final = "127.0.0.1"
ID: Final = b"@ID@"
"""Stands for the id of the request in a scripted answer."""
CLOSE: Final = "close"
RESET: Final = "reset"
END: Final = "end"
PAUSE_SECONDS: Final = 0.03
LIFE_CALL: Final = "system-life-"
"""Begin of the ids of calls that ask a target for its life."""
HEALTH_PATH: Final = "/healthz"

Step = bytes | str | Callable[[int], bytes]
"""Bytes to send before a pause, ``CLOSE``, ``RESET`` or ``END``.

With ``END`` the target closes the connection, as a process that is killed, and answers
at that address no more. A function returns the bytes for the last event that the caller
has.
"""


@dataclass(slots=True)
class ScriptedServer:
    """Target that answers the n-th request with the n-th script.

    Attributes
    ----------
    ids, resumed_after
        Id and last event id of each request.
    connections
        Number of connections that have carried a request.
    repeats
        Whether it writes the last bytes of a connection once more before the next
        answer there.
    life
        Life that it states when it is asked for it; other reports are scripted.
    ended
        Addresses at which it has ended.
    checks
        Paths of these calls and of the health checks.
    """

    scripts: list[list[Step]]
    repeats: bool = False
    life: int = 1
    ended: set[object] = field(default_factory=set)
    checks: list[str] = field(default_factory=list)
    last_sent: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    ids: list[str] = field(default_factory=list)
    resumed_after: list[str] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def connections(self) -> int:
        """Return the number of connections that have carried a request."""
        return len(self.writers)

    async def async_handle(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Play the next script; return whether the connection stays open."""
        if writer.get_extra_info("sockname") in self.ended:
            return False
        if request.path == HEALTH_PATH or self._id(request).startswith(LIFE_CALL):
            self.checks.append(request.path)
            body = b'{"born": %d}' % self.life
            head = {"Gypsumsail-Request-Id": self._id(request)}
            writer.write(encode_response(200, body, head))
            return True
        self.writers.add(writer)
        request_id = self._id(request)
        self.ids.append(request_id)
        self.resumed_after.append(request.headers.get("last-event-id", ""))
        if self.repeats:
            writer.write(self.last_sent.get(writer, b""))
        for step in self.scripts.pop(0):
            if step == RESET:
                reset_connection(writer)
                return False
            if step == END:
                self.ended.add(writer.get_extra_info("sockname"))
                return False
            if step == CLOSE:
                return False
            assert not isinstance(step, str)
            if callable(step):
                step = step(int(self.resumed_after[-1] or 0))
            data = self.last_sent[writer] = step.replace(ID, request_id.encode())
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
        return True

    @staticmethod
    def _id(request: RawRequest) -> str:
        return request.headers.get("gypsumsail-request-id", "")


@asynccontextmanager
async def served(*servers: ScriptedServer) -> AsyncIterator[list[Address]]:
    """Start servers and return their addresses."""
    raws = [RawServer(server.async_handle) for server in servers]
    try:
        yield [Address(host=HOST, port=await raw.async_start(HOST)) for raw in raws]
    finally:
        for raw in raws:
            await raw.async_stop()


def gateway_before(*entries: TargetEntry, routing: RoutingDocument) -> Gateway:
    """Return a gateway that sends calls over real connections."""
    calls = PlatformTargetCalls(SystemClock())
    gw = gateway(calls, *entries, routing=routing)
    calls.clock = gw.clock
    return gw


def call_now(
    gw: Gateway, request_id: str = "id-1", path: str = "/a/x", **changes: Any
) -> Call:
    """Return a call that arrives now and bears its id on the wire."""
    headers = ((b"Gypsumsail-Request-Id", request_id.encode()),)
    now = gw.clock.monotonic()
    return call(path, now=now, request_id=request_id, headers=headers, **changes)


async def serve(
    gw: Gateway, request_id: str = "id-1", path: str = "/a/x", **changes: Any
) -> RecordedReply:
    """Return the reply to a call that arrives now."""
    reply = RecordedReply()
    its_call = call_now(gw, request_id, path, **changes)
    async with asyncio.timeout(6.0):
        await gw.async_handle(its_call, reply)
    return reply


def answer(status: int, body: bytes = b"", *lines: bytes, has_id: bool = True) -> bytes:
    """Return an answer with a length."""
    head = [b"HTTP/1.1 %d S" % status, b"Content-Length: %d" % len(body), *lines]
    if has_id:
        head.append(b"Gypsumsail-Request-Id: " + ID)
    return b"\r\n".join(head) + b"\r\n\r\n" + body


SIGNED: Final = b"Gypsumsail-Server-Stamp: s"
NOT_RUN: Final = b"Gypsumsail-Not-Run: 1"
