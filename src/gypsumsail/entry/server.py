"""HTTP server of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
import socket
from typing import Any, Final

import uvicorn

BACKLOG: Final = 1024
KEEP_ALIVE_SECONDS: Final = 60


class _Server(uvicorn.Server):
    """A server without signal handlers that reports when it accepts connections."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.accepting = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start accepting connections."""
        await super().startup(sockets)
        self.accepting.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the entry handles the signals."""
        yield


class HttpServer:
    """Serves an application on one socket."""

    def __init__(self, app: Any, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.port: int = self.socket.getsockname()[1]
        config = uvicorn.Config(
            app,
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
        )
        self.server = _Server(config)
        self.task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start the server and wait until it accepts connections."""
        self.task = asyncio.create_task(self.server.serve(sockets=[self.socket]))
        await self.server.accepting.wait()

    async def async_unload(self) -> None:
        """Stop the server; responses in progress are aborted."""
        self.server.should_exit = True
        self.server.force_exit = True
        if self.task is not None:
            await self.task
