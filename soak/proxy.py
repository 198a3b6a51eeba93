"""TCP proxy on loopback that simulates network faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
import socket
from time import monotonic

from stand_ins.raw_http import reset_connection

DELAY_SECONDS = 0.3
RETRANSMISSION_SECONDS = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
"""Times after the first one at which a kernel sends unacknowledged bytes again."""


class Impairment(StrEnum):
    """Network fault that a proxy simulates.

    Attributes
    ----------
    DELAY
        Forward data after ``DELAY_SECONDS``.
    SILENT, ONE_WAY
        Drop the data of both directions, or only of the responses.
    REFUSE
        Reset new connections.
    HOLD
        Hold the data of both directions until the kernel of their sender would have
        sent them again after the fault. They also arrive if their sender has closed the
        connection meanwhile, but are lost if it was reset.
    """

    NONE = "none"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE = "refuse"
    HOLD = "hold"


RANDOM_IMPAIRMENTS = [found for found in Impairment if found is not Impairment.HOLD]


class Proxy:
    """Forwards connections to one address.

    This machine's kernel acknowledges all data at once, so ``TCP_USER_TIMEOUT`` of the
    sender has no effect on data that is held. Where it matters, for a sender that is
    stopped, data is lost instead.

    Attributes
    ----------
    impairment
        Simulated fault; may be changed at any time.
    on_data
        Called with the data that a client has sent, before it is forwarded.
    was_stopped_since
        Returns whether the clients' process stood still at any time since a monotonic
        time; held data is then lost.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.impairment = Impairment.NONE
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.on_data: Callable[[bytes], None] = lambda data: None
        self.was_stopped_since: Callable[[float], bool] = lambda at: False

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
        held = bytearray()
        release: asyncio.Task[None] | None = None
        try:
            while data := await reader.read(65_536):
                if not is_response:
                    self.on_data(data)
                if release is not None and not release.done():
                    held += data
                    continue
                if self.impairment is Impairment.HOLD:
                    held += data
                    release = asyncio.create_task(
                        self._async_release(held, writer, is_response=is_response)
                    )
                    continue
                if self.impairment is Impairment.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                dropped = self.impairment is Impairment.SILENT or (
                    self.impairment is Impairment.ONE_WAY and is_response
                )
                if dropped:
                    continue
                writer.write(data)
                await writer.drain()
            if release is not None:
                await release
        except ConnectionError:
            if release is not None:
                release.cancel()
            # Closed in order, an answer without a length would look complete.
            reset_connection(writer)
            return
        writer.close()

    async def _async_release(
        self, held: bytearray, writer: asyncio.StreamWriter, *, is_response: bool
    ) -> None:
        """Forward held data at the first retransmission after the fault."""
        since = monotonic()
        for seconds in RETRANSMISSION_SECONDS:
            await asyncio.sleep(since + seconds - monotonic())
            if self.impairment is not Impairment.HOLD:
                break
        if not is_response and self.was_stopped_since(since):
            reset_connection(writer)
        elif not writer.transport.is_closing():
            writer.write(bytes(held))
        held.clear()
