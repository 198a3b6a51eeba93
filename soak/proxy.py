"""A TCP proxy on loopback that delays, resets, cuts one way and silences."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum

from stand_ins.raw_http import reset


class Cut(StrEnum):
    """What a proxy does to the bytes that pass."""

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to one address.

    Attributes
    ----------
    cut
        What is done to bytes; may change at any time.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.cut = Cut.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def async_start(self, host: str) -> int:
        """Listen and return the port."""
        self.server = await asyncio.start_server(self._accept, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        assert isinstance(port, int)
        return port

    def reset_all(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            reset(writer)

    def stop(self) -> None:
        """Close all."""
        if self.server is not None:
            self.server.close()
        self.reset_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.cut is Cut.REFUSE:
            reset(writer)
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, to_writer}
        await asyncio.gather(
            self._pass(reader, to_writer, is_answer=False),
            self._pass(to_reader, writer, is_answer=True),
        )
        self.writers -= {writer, to_writer}

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.cut is Cut.DELAY:
                    await asyncio.sleep(0.3)
                lost = self.cut is Cut.SILENT or (self.cut is Cut.ONE_WAY and is_answer)
                if lost:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
