"""Tests of the soak's links that hold data through a cut."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from time import monotonic
from typing import Final

import pytest

from soak.links import Link, LinkCut
from stand_ins.raw_http import reset_connection

HOLD_SECONDS: Final = 0.3
SENT_AGAIN_SECONDS: Final = 0.6
"""Time of the first retransmission after that."""
ARRIVAL_SECONDS: Final = 2.0


class Arrivals:
    """What a server behind a link has got, with the time of the last data."""

    def __init__(self) -> None:
        self.data = b""
        self.at = 0.0
        self.has_begun = asyncio.Event()
        self.has_ended = asyncio.Event()

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read a connection to its end; those without data don't count."""
        is_ours = False
        try:
            while data := await reader.read(1_000):
                is_ours = True
                self.data += data
                self.at = monotonic()
                self.has_begun.set()
        except ConnectionError:
            pass
        finally:
            writer.close()
            if is_ours:
                self.has_ended.set()


@asynccontextmanager
async def held_link() -> AsyncIterator[tuple[Link, Arrivals, asyncio.StreamWriter]]:
    """Yield a link that is cut, with an open connection through it."""
    arrivals = Arrivals()
    server = await asyncio.start_server(arrivals.async_serve, "127.0.0.1", 0)
    link = Link("127.0.0.1", server.sockets[0].getsockname()[1])
    await link.async_start("127.0.0.1")
    _, writer = await asyncio.open_connection("127.0.0.1", link.port)
    writer.write(b"before,")
    async with asyncio.timeout(ARRIVAL_SECONDS):
        await arrivals.has_begun.wait()
    await link.async_cut(LinkCut.HOLD)
    try:
        yield link, arrivals, writer
    finally:
        writer.close()
        link.stop()
        server.close()


@pytest.mark.parametrize("is_closed", [False, True])
async def test_held_data_arrives_after_the_cut(is_closed: bool) -> None:
    async with held_link() as (link, arrivals, writer):
        sent_at = monotonic()
        writer.write(b"held,")
        if is_closed:
            writer.close()
        await asyncio.sleep(HOLD_SECONDS)
        assert arrivals.data == b"before,"
        await link.async_heal()
        if not is_closed:
            writer.write(b"after")
            await asyncio.sleep(SENT_AGAIN_SECONDS)
            writer.close()
        async with asyncio.timeout(ARRIVAL_SECONDS):
            await arrivals.has_ended.wait()
        assert arrivals.data == b"before,held," + (b"" if is_closed else b"after")
        assert arrivals.at - sent_at >= SENT_AGAIN_SECONDS


@pytest.mark.parametrize("how", ["reset", "stopped"])
async def test_held_data_of_a_sender_that_gave_up_is_lost(how: str) -> None:
    async with held_link() as (link, arrivals, writer):
        writer.write(b"held")
        await asyncio.sleep(HOLD_SECONDS)
        if how == "reset":
            reset_connection(writer)
        else:
            link.proxy.was_stopped_since = lambda at: True
        await link.async_heal()
        async with asyncio.timeout(ARRIVAL_SECONDS):
            await arrivals.has_ended.wait()
        assert arrivals.data == b"before,"
