"""Listener whose kernel takes no bytes until it is released, and its callers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
import socket
import sys
from typing import Final

DEFER_ACCEPT_SECONDS: Final = 60
BACKLOG: Final = 4
FILL_SECONDS: Final = 1.0
"""Time limit for each connection that fills the queue."""
READ_SECONDS: Final = 1.0
"""Time for the first bytes of a connection that was accepted."""
MAX_HEAD_BYTES: Final = 65_536
PROCESS_SECONDS: Final = 20.0
"""Time for a process to start and to make its call."""


class HoldingListener:
    """Listener that stands for a server behind a link that is cut.

    Connections can be opened, but their first bytes are neither acknowledged nor lost:
    the sender's kernel sends them again and again, as through a cut, and they arrive
    if it still does so after ``release``.

    The kernel drops the first data of a connection while the queue of accepted
    connections is full. With ``TCP_DEFER_ACCEPT``, a connection enters the queue only
    with its first data, so that connections can be opened before the queue is full.

    Attributes
    ----------
    port
        Port of the address on 127.0.0.1.
    """

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_ACCEPT_SECONDS
        )
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)
        self.port: int = self.socket.getsockname()[1]
        self.fillers: list[socket.socket] = []

    def hold(self) -> None:
        """Take no more data, and let no more connections be opened."""
        for _ in range(BACKLOG + 1):
            filler = socket.create_connection(
                ("127.0.0.1", self.port), timeout=FILL_SECONDS
            )
            filler.send(b"x")
            self.fillers.append(filler)

    async def async_release(self) -> None:
        """Take data again."""
        loop = asyncio.get_running_loop()
        while self.fillers:
            accepted, _ = await loop.sock_accept(self.socket)
            accepted.close()
            self.fillers.pop().close()

    async def async_read_arrivals(self, seconds: float) -> list[bytes]:
        """Return the first bytes of each connection that brings any within a time."""
        loop = asyncio.get_running_loop()
        arrivals: list[bytes] = []
        try:
            async with asyncio.timeout(seconds):
                while True:
                    accepted, _ = await loop.sock_accept(self.socket)
                    with accepted:
                        if data := await self._async_read(accepted):
                            arrivals.append(data)
        except TimeoutError:
            return arrivals

    @staticmethod
    async def _async_read(accepted: socket.socket) -> bytes:
        """Return the first bytes of a connection; none if it brings none."""
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(READ_SECONDS):
                return await loop.sock_recv(accepted, MAX_HEAD_BYTES)
        except (ConnectionError, TimeoutError):
            return b""

    def close(self) -> None:
        """Close the listener."""
        for filler in self.fillers:
            filler.close()
        self.socket.close()


@asynccontextmanager
async def holding_listener() -> AsyncIterator[HoldingListener]:
    """Yield a listener that is closed at the end."""
    listener = HoldingListener()
    try:
        yield listener
    finally:
        listener.close()


@asynccontextmanager
async def calling_process(
    listener: HoldingListener, code: str, *arguments: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a process whose call the listener holds; it is killed at the end.

    Parameters
    ----------
    code
        Program that prints ``connected``, reads a line, makes its call and prints
        ``sent``. Its last argument is the port.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        *arguments,
        str(listener.port),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env={"PYTHONPATH": "src:."},
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        async with asyncio.timeout(PROCESS_SECONDS):
            assert await process.stdout.readline() == b"connected\n"
            listener.hold()
            process.stdin.write(b"\n")
            assert await process.stdout.readline() == b"sent\n"
        yield process
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
