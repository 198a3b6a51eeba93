"""Tests that the main loop of a VM ticks its rollout."""

from __future__ import annotations

import asyncio

from tests.vm.offline import offline_vm

WAIT_SECONDS = 2.0


async def test_main_loop_gives_up_orders_whose_time_has_passed() -> None:
    """Without its tick, an order outlives a suspension of the VM (ONE)."""
    runtime = offline_vm()
    ticked: asyncio.Queue[float] = asyncio.Queue()
    setattr(runtime.rollout, "tick", ticked.put_nowait)  # noqa: B010
    task = asyncio.create_task(runtime._async_serve())
    async with asyncio.timeout(WAIT_SECONDS):
        first, second = await ticked.get(), await ticked.get()
    task.cancel()
    assert first < second <= runtime.clock.monotonic()
