"""Plain engine in a process of its own, which writes answers without a length.

Usage: ``engine_3.py ID SERVICE HOST PORT STORE LISTED WORK_SECONDS``. It writes its
entry to the store at each beat with ``LISTED`` as its address, and a line to standard
output for each step of a request.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import sys
import time
from typing import Any

from stand_ins.raw_http import RawRequest, RawServer, encode_response

BEAT_SECONDS = 1.2
HALF_BYTES = 400


def whole_body(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    text = "".join(
        hashlib.blake2b(f"{request_id}/{part}".encode(), digest_size=20).hexdigest()
        for part in range(2 * HALF_BYTES // 40)
    )
    return text.encode()


class PlainEngine:
    """Engine that answers with a body that ends with its connection."""

    def __init__(self, arguments: list[str]) -> None:
        self.name, self.service, self.host, port, self.store, self.listed, work = (
            arguments
        )
        self.port = int(port)
        self.work_seconds = float(work)
        self.born = int(time.time() * 1000)
        self.server = RawServer(self.handle)

    def report(self, **fields: Any) -> None:
        """Write a line on a step."""
        fields = {"engine": self.name, "born": self.born, **fields}
        sys.stdout.write(json.dumps(fields) + "\n")
        sys.stdout.flush()

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = request.headers.get("gypsumsail-request-id", "")
        headers = {
            "Gypsumsail-Instance-Id": self.name,
            "Gypsumsail-Server-Load": "0,0,8",
        }
        if request_id:
            headers["Gypsumsail-Request-Id"] = request_id
        if request.headers.get("gypsumsail-target-instance", self.name) != self.name:
            headers["Gypsumsail-Not-Run"] = "1"
            writer.write(encode_response(421, b"", headers))
            return True
        if request.path == "/healthz":
            writer.write(encode_response(200, b"", headers))
            return True
        if not request_id:
            headers["Gypsumsail-Not-Run"] = "1"
            writer.write(encode_response(400, b"", headers))
            return True
        self.report(step="begins", request=request_id)
        headers |= {"Gypsumsail-Server-Stamp": f"{self.name}.{self.born}"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
        body = whole_body(request_id)
        writer.write(head.encode() + body[:HALF_BYTES])
        await writer.drain()
        self.report(step="half written", request=request_id)
        await asyncio.sleep(self.work_seconds)
        writer.write(body[HALF_BYTES:])
        await writer.drain()
        self.report(step="whole written", request=request_id)
        return False

    async def async_write_entry(self) -> None:
        """Write the entry: create it, or replace that of an earlier life."""
        spec = {
            "service": self.service,
            "addr": self.listed,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "call_seq": 0,
            "born": self.born,
        }
        data = json.dumps({"metadata": {"name": self.name}, "spec": spec}).encode()
        for method, path in (
            ("POST", "/v1/objects/servers"),
            ("PUT", f"/v1/objects/servers/{self.name}"),
        ):
            host, _, port = self.store.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: store\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            status = (await reader.readline()).split(b" ")[1]
            writer.close()
            if status == b"200":
                return

    async def async_run(self) -> None:
        """Serve until the process is killed."""
        await self.server.async_start(self.host, self.port)
        self.report(step="started")
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await self.async_write_entry()
            except (OSError, TimeoutError, IndexError) as err:
                self.report(step="entry not written", error=str(err))
            await asyncio.sleep(BEAT_SECONDS)


if __name__ == "__main__":
    asyncio.run(PlainEngine(sys.argv[1:]).async_run())
