"""Tests that the main loop of a VM ticks its rollout."""

from __future__ import annotations

import asyncio
import os

from gypsumsail.core.clock import SystemClock
from gypsumsail.logs.line_writer import LineWriter
from gypsumsail.platform.app import make_ports
from gypsumsail.platform.settings import load_settings
from gypsumsail.vm.runtime import VmRuntime
from soak.vms import Vm

WAIT_SECONDS = 2.0


async def test_main_loop_gives_up_orders_whose_time_has_passed() -> None:
    """Without its tick, an order outlives a suspension of the VM (ONE)."""
    vm = Vm("v0", "127.0.0.10", "z0", 20_000)
    vm.write_settings("127.0.0.1:1", [])
    path = vm.directory / "boot.toml"
    settings = load_settings(path)
    clock = SystemClock()
    writer = LineWriter(os.open(os.devnull, os.O_WRONLY))
    ports = make_ports(settings, path, clock)
    runtime = VmRuntime(settings, ports, clock, writer, None)
    ticked: asyncio.Queue[float] = asyncio.Queue()
    setattr(runtime.rollout, "tick", ticked.put_nowait)  # noqa: B010
    task = asyncio.create_task(runtime._async_serve())
    async with asyncio.timeout(WAIT_SECONDS):
        first, second = await ticked.get(), await ticked.get()
    task.cancel()
    assert first < second <= clock.monotonic()
