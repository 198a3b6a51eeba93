"""HTTP server of a stand-in on loopback."""

from __future__ import annotations

import socket
from typing import Final

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from stand_ins.asgi import ABORT_EXTENSION, App

HOST: Final = "127.0.0.1"
SHUTDOWN_TIMEOUT_SECONDS: Final = 1
KEEP_ALIVE_SECONDS: Final = 60
"""Time for which an idle connection stays open.

A stand-in that stood still for longer closes connections before it reads the requests
that have arrived on them meanwhile.
"""


class AbortableProtocol(HttpToolsProtocol):
    """HTTP protocol that allows the application to reset the connection."""

    def on_message_begin(self) -> None:
        """Add to the ASGI scope the function that resets the connection."""
        super().on_message_begin()
        self.scope["extensions"] = {ABORT_EXTENSION: {"abort": self.transport.abort}}


class AnnouncingServer(uvicorn.Server):
    """Server that prints its port once it accepts connections."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start, then print the line that the launcher waits for."""
        await super().startup(sockets=sockets)
        if sockets and self.started:
            port = sockets[0].getsockname()[1]
            print(f"listening {port}", flush=True)  # noqa: T201


def serve(app: App, port: int) -> None:
    """Serve an application until SIGTERM; port 0 selects a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    config = uvicorn.Config(
        app,
        http=AbortableProtocol,
        loop="asyncio",
        log_level="warning",
        access_log=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_SECONDS,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_SECONDS,
    )
    AnnouncingServer(config).run(sockets=[listener])
