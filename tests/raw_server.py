"""Server that answers with fixed bytes, for tests of the adapters."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
import socket
import struct


@dataclass(slots=True, kw_only=True)
class RawServer:
    """What the server has seen.

    Attributes
    ----------
    url
        Its HTTP address.
    connections, requests
        Number of connections that were opened and of requests that came.
    """

    url: str = ""
    connections: int = 0
    requests: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    await reader.readexactly(length)


@asynccontextmanager
async def raw_server(answers: Sequence[bytes | None]) -> AsyncIterator[RawServer]:
    """Answer the n-th request with the n-th bytes.

    ``None`` closes the connection without an answer, ``RESET`` resets it; bytes
    that end with ``CLOSE`` are sent without it and then the connection is closed.
    """
    server = RawServer()
    tasks: set[asyncio.Task[None]] = set()

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks.add(asyncio.create_task(serve(reader, writer)))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server.connections += 1
        server.writers.append(writer)
        try:
            while True:
                await _read_request(reader)
                answer = answers[min(server.requests, len(answers) - 1)]
                server.requests += 1
                if answer is None:
                    break
                if answer == RESET:
                    reset(writer)
                    break
                writer.write(answer.removesuffix(CLOSE))
                await writer.drain()
                if answer.endswith(CLOSE):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    server.url = f"http://127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    try:
        yield server
    finally:
        listener.close()
        for writer in server.writers:
            writer.close()
        await listener.wait_closed()
        await asyncio.gather(*tasks)


def reset(writer: asyncio.StreamWriter) -> None:
    """Let the closing of a connection reset it."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


CLOSE = b"--close--"
RESET = b"--reset--"
