"""Tests of distinguishing a lost connection from a crashed target."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import cast

from gypsumsail.core.errors import TransportError
from gypsumsail.entry.prober import TargetProber
from gypsumsail.targets.port import EngineClient, LoadReport
from tests.relay.common import make_selection


class ExitingEngine:
    """Engine that accepts a connection and closes its port before it answers."""

    def __init__(self, server: asyncio.Server) -> None:
        self.server = server

    async def async_load(self) -> LoadReport:
        """Close the port and fail like a connection reset."""
        self.server.close()
        await asyncio.sleep(0)
        raise TransportError("reset", sent=True)


async def test_target_that_exits_during_the_probe_has_crashed() -> None:
    server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1")
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    selection = make_selection("first")
    selection = replace(selection, vm=replace(selection.vm, url=url))
    prober = TargetProber(lambda _: cast(EngineClient, ExitingEngine(server)))

    assert await prober.async_has_crashed(selection)
