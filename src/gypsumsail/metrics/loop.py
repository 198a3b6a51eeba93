"""Measures the scheduling delay of the event loop."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from gypsumsail.metrics.families import Histogram

SAMPLE_INTERVAL_SECONDS: Final = 0.25


class LoopMonitor:
    """Sleeps periodically and records by how much each sleep overruns.

    A long delay means that a call blocked the event loop or that the VM was
    suspended.
    """

    def __init__(self, delays: Histogram) -> None:
        self.delays = delays
        self.task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start the sampling task."""
        self.task = asyncio.create_task(self._async_sample())

    async def async_unload(self) -> None:
        """Stop the sampling task."""
        if self.task is None:
            return
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    async def _async_sample(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            deadline = loop.time() + SAMPLE_INTERVAL_SECONDS
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            self.delays.observe(max(0.0, loop.time() - deadline))
