"""Watches how late the event loop runs what is due."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from gypsumsail.metrics.families import Histogram

SAMPLE_SECONDS: Final = 0.25


class LoopMonitor:
    """Sleeps again and again, and counts by how much each sleep is too long.

    A long delay means that something held the loop, or that the VM was frozen.
    """

    def __init__(self, delays: Histogram) -> None:
        self.delays = delays
        self.task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to watch."""
        self.task = asyncio.create_task(self._async_sample())

    async def async_unload(self) -> None:
        """Stop watching."""
        if self.task is None:
            return
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    async def _async_sample(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            deadline = loop.time() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            self.delays.observe(max(0.0, loop.time() - deadline))
