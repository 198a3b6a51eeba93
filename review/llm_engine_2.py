"""Stand-in of a model engine with a cache of prompt parts, in the script's process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
import time
from typing import Any

from harness_2 import Record, Request, async_serve, encode_answer, port_of

MODEL = "daka510000"
SLOTS = 64
KV_TOKENS = 41_616
PREFILL_TOKENS_PER_MS = 36.1
EVENTS = 10
EVENT_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class PartUse:
    """A part of a prompt that a run took from the cache, and who made it."""

    request_id: str
    tenant: str
    part: str
    made_by: str
    made_by_request: str


class LlmEngine:
    """A model engine that prefills one prompt after the other.

    Attributes
    ----------
    cached
        Tenant and request that made each part, by salt and part. A part counts only
        if all parts before it are cached as well.
    uses
        Parts that runs took from the cache.
    """

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.born = int(time.time() * 1000)
        self.address = ""
        self.running = 0
        self.waiting = 0
        self.prefill = asyncio.Lock()
        self.cached: dict[tuple[str, str], tuple[str, str]] = {}
        self.uses: list[PartUse] = []
        self.server: asyncio.Server | None = None

    async def async_start(self, host: str) -> None:
        """Start to listen."""
        self.server = await async_serve(self.async_handle, host)
        self.address = f"{host}:{port_of(self.server)}"

    def entry(self) -> dict[str, Any]:
        """Return the entry in the list of engines."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "colocated",
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "call_seq": 0,
            "born": self.born,
        }

    async def async_handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        asked = request.headers.get("gypsumsail-target-instance", self.name)
        if asked != self.name:
            instance = {"Gypsumsail-Instance-Id": self.name}
            writer.write(encode_answer(421, b"", instance))
            return True
        if request.path == "/v1/report":
            writer.write(encode_answer(200, self._report(), self._echo(request)))
            return True
        if request.path == "/healthz":
            instance = {"Gypsumsail-Instance-Id": self.name}
            writer.write(encode_answer(200, b"", instance))
            return True
        expected = request.headers.get("gypsumsail-expect-version", "1")
        if expected != "1":
            writer.write(encode_answer(421, b"", self._echo(request)))
            return True
        self.waiting += 1
        await self._async_run(request, writer)
        return True

    def _echo(self, request: Request) -> dict[str, str]:
        request_id = request.headers.get("gypsumsail-request-id", "")
        return {"Gypsumsail-Request-Id": request_id} if request_id else {}

    def _report(self) -> bytes:
        return json.dumps(
            {
                "stage": "colocated",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "busy": False,
                "call_seq": 0,
                "waiting": self.waiting,
                "running": self.running,
                "kv_used": 0,
                "kv_total": KV_TOKENS,
                "handles": 0,
                "born": self.born,
            }
        ).encode()

    async def _async_run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        headers = request.headers
        request_id = headers["gypsumsail-request-id"]
        tenant = headers.get("gypsumsail-tenant", "")
        salt = headers.get("gypsumsail-cache-salt", "")
        parts = [
            (item.partition(":")[0], int(item.partition(":")[2]))
            for item in headers["gypsumsail-prompt-prefix"].split(",")
        ]
        async with self.prefill:
            tokens = self._read_prompt(request_id, tenant, salt, parts)
            await asyncio.sleep(tokens / PREFILL_TOKENS_PER_MS / 1000)
        self.waiting -= 1
        self.running += 1
        self.record.write(
            f"{self.name} runs {request_id} of {tenant}, salt {salt}, reads {tokens}"
        )
        head = (
            f"HTTP/1.1 200 OK\r\nGypsumsail-Request-Id: {request_id}\r\n"
            f"Gypsumsail-Server-Stamp: {self.name}.{request_id}\r\n"
            "Gypsumsail-Weight-Versions: 1\r\n"
            f"Gypsumsail-Server-Load: {self.running},{self.waiting},{SLOTS}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        try:
            writer.write(head.encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1

    def _read_prompt(
        self, request_id: str, tenant: str, salt: str, parts: list[tuple[str, int]]
    ) -> int:
        """Take what is cached of a prompt, cache the rest; return its tokens."""
        tokens = 0
        is_leading = True
        for part, size in parts:
            made = self.cached.get((salt, part))
            is_leading = is_leading and made is not None
            if is_leading and made is not None:
                self.uses.append(PartUse(request_id, tenant, part, *made))
                continue
            tokens += size
            self.cached[(salt, part)] = (tenant, request_id)
        return tokens


def llm_service(name: str) -> dict[str, Any]:
    """Return the service of model engines of kerlann-claims."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 360,
        "proto": "h1",
        "tls": False,
        "engine": {
            "slots": SLOTS,
            "kv_tokens": KV_TOKENS,
            "kv_token_bytes": 18432,
            "link_mbps": 550000.0,
            "moves": True,
            "backups": True,
            "managed": True,
            "stride": 5,
            "max_inflight": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": 5.0,
            "models": [{"name": MODEL}],
        },
    }


def dossier_route(service: str) -> dict[str, Any]:
    """Return the route of dossiers of kerlann-claims."""
    return {
        "name": "verdict",
        "host": "dossiers.example",
        "path_prefix": "/verdict/",
        "kind": "streaming",
        "timeout_ms": 5000,
        "goal_ms": 800,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 500,
    }
