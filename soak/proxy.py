"""TCP proxy on loopback that simulates network faults."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum
import socket

from stand_ins.raw_http import reset_connection


class Impairment(StrEnum):
    """Network fault that a proxy simulates.

    Attributes
    ----------
    DELAY
        Forward data after 0.3 s.
    SILENT, ONE_WAY
        Drop the data of both directions, or only of the responses.
    REFUSE
        Reset new connections.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    impairment
        Simulated fault; may be changed at any time.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.impairment = Impairment.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def async_start(self, host: str, port: int = 0) -> int:
        """Start listening, on a free port if none is given; return the port."""
        self.server = await asyncio.start_server(self._serve_connection, host, port)
        port = self.server.sockets[0].getsockname()[1]
        assert isinstance(port, int)
        return port

    async def async_start_on(self, held: socket.socket) -> None:
        """Start listening on a bound socket, whose port no other process can take."""
        self.server = await asyncio.start_server(self._serve_connection, sock=held)

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            reset_connection(writer)

    def stop_listening(self) -> None:
        """Refuse new connections; the open ones live on."""
        if self.server is not None:
            self.server.close()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        self.reset_all()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.impairment is Impairment.REFUSE:
            reset_connection(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            reset_connection(writer)
            return
        self.writers |= {writer, upstream_writer}
        await asyncio.gather(
            self._forward(reader, upstream_writer, is_response=False),
            self._forward(upstream_reader, writer, is_response=True),
        )
        self.writers -= {writer, upstream_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.impairment is Impairment.DELAY:
                    await asyncio.sleep(0.3)
                dropped = self.impairment is Impairment.SILENT or (
                    self.impairment is Impairment.ONE_WAY and is_response
                )
                if dropped:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
