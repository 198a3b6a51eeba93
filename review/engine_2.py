"""Stand-in of a plain engine that runs as a process of its own.

Its answers have no length and end with their connection, as the pages allow. It writes
its entry every 1,200 ms. Started again under its id, it holds nothing of before.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time

from harness_2 import Request, async_call, async_serve, encode_answer

BEAT_SECONDS = 1.2
WORK_SECONDS = 0.25
"""Time between two pieces of an answer."""
PIECES = 4
CRASH_MARK = "letter-13"
"""Part of a target that crashes the engine which begins to run it."""


def answer_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return b"".join(f"{request_id} line {n}\n".encode() for n in range(40))


def tell(text: str) -> None:
    """Tell the script what happens here."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


class Engine:
    """A plain engine.

    Attributes
    ----------
    born
        Start of the process, as a Unix time in milliseconds.
    """

    def __init__(self, name: str, service: str, zone: str, entry_address: str) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.entry_address = entry_address
        self.born = int(time.time() * 1000)

    async def async_handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        if request.path == "/healthz":
            writer.write(encode_answer(200, b"", {"Gypsumsail-Instance-Id": self.name}))
            return True
        asked = request.headers.get("gypsumsail-target-instance", self.name)
        request_id = request.headers.get("gypsumsail-request-id", "")
        if asked != self.name:
            writer.write(encode_answer(421, b"", {"Gypsumsail-Instance-Id": self.name}))
            return True
        if not request_id:
            writer.write(encode_answer(400, b"", {"Gypsumsail-Not-Run": "1"}))
            return True
        tell(f"runs {request_id}, born {self.born}")
        if CRASH_MARK in request.target:
            tell(f"crashes on {request_id}")
            os._exit(1)
        await asyncio.sleep(WORK_SECONDS / 5)
        head = (
            f"HTTP/1.1 200 OK\r\nGypsumsail-Request-Id: {request_id}\r\n"
            f"Gypsumsail-Server-Stamp: {self.name}.{request_id}\r\n"
            "Content-Type: text/plain\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode())
        body = answer_body(request_id)
        size = len(body) // PIECES + 1
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(WORK_SECONDS)
        tell(f"has ended {request_id}")
        return False

    async def async_beat(self, store: str) -> None:
        """Write the entry of this engine, again and again."""
        host, port = store.rsplit(":", 1)
        spec = {
            "service": self.service,
            "addr": self.entry_address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "call_seq": 0,
            "born": self.born,
        }
        body = json.dumps({"metadata": {"name": self.name}, "spec": spec}).encode()
        while True:
            path = f"/v1/objects/servers/{self.name}"
            answer = await async_call(host, int(port), "PUT", path, {}, body)
            if answer.status == 404:
                await async_call(
                    host, int(port), "POST", "/v1/objects/servers", {}, body
                )
            await asyncio.sleep(BEAT_SECONDS)


async def main() -> None:
    """Run one engine until it is killed."""
    name, service, zone, address, entry_address, store = sys.argv[1:]
    engine = Engine(name, service, zone, entry_address)
    host, port = address.rsplit(":", 1)
    await async_serve(engine.async_handle, host, int(port))
    await engine.async_beat(store)


if __name__ == "__main__":
    asyncio.run(main())
