"""Minimal HTTP/1.1 server for stand-ins that violate the protocol on purpose."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
from dataclasses import dataclass
import socket
import struct


@dataclass(slots=True)
class RawRequest:
    """One request; header names are in lower case.

    Attributes
    ----------
    target
        Path with the query, as sent.
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[bool]]
"""Responds to a request; returns whether the connection stays open."""


async def read_request(reader: asyncio.StreamReader) -> RawRequest:
    """Read one request whose body has a ``Content-Length``."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, text = target.partition("?")
    query = dict(item.split("=", 1) for item in text.split("&") if "=" in item)
    return RawRequest(method, target, path, query, headers, body)


def encode_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return an encoded response with a ``Content-Length``."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    found = writer.get_extra_info("socket")
    if found is not None:
        linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class RawServer:
    """HTTP server on one address.

    Attributes
    ----------
    resets_connections
        Whether new connections are reset instead of served.
    is_stopped
        Whether the server was stopped; its tasks then end without an error.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.resets_connections = False
        self.is_stopped = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def async_start(self, host: str, port: int = 0) -> int:
        """Start listening; return the port."""
        self.server = await asyncio.start_server(self._serve_connection, host, port)
        found = self.server.sockets[0].getsockname()[1]
        assert isinstance(found, int)
        return found

    def start_resetting(self) -> None:
        """Reset all connections, and new ones until ``stop_resetting``."""
        self.resets_connections = True
        for writer in list(self.writers):
            reset_connection(writer)

    def close_connections(self) -> None:
        """Close all connections without a reset, as the kernel does for a process.

        What was written before still arrives.
        """
        for writer in list(self.writers):
            writer.transport.close()

    def stop_resetting(self) -> None:
        """Serve new connections again."""
        self.resets_connections = False

    async def async_stop(self) -> None:
        """Stop listening and end all connections."""
        self.is_stopped = True
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.resets_connections:
            reset_connection(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self.handler(await read_request(reader), writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            if not self.is_stopped:
                raise
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()
