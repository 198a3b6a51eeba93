"""Runs the tasks of a VM so that a failure of one costs the others nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import logging

from gypsumsail.core.callback import callback
from gypsumsail.metrics.registry import MetricsRegistry
from gypsumsail.vm.const import FAILURE_LOG_SECONDS, TASK_RESTART_SECONDS

_LOGGER = logging.getLogger(__name__)


class Supervisor:
    """Counts and logs failures of tasks, and goes on.

    Attributes
    ----------
    logged_at
        Time of the latest log line on each task.
    """

    def __init__(self, registry: MetricsRegistry) -> None:
        self.failures = registry.counter(
            "gypsumsail_task_failures_total",
            "Unexpected failures of periodic and background tasks.",
            ("task",),
        )
        self.logged_at: dict[str, float] = {}

    @callback
    def tick(self, name: str, work: Callable[[float], None], now: float) -> None:
        """Run one step of a periodic task."""
        try:
            work(now)
        except Exception:
            self.failures.labels(name).increment()
            if now - self.logged_at.get(name, float("-inf")) >= FAILURE_LOG_SECONDS:
                self.logged_at[name] = now
                _LOGGER.exception("A step of the task %s failed; it goes on", name)

    async def async_run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a background task and restart it after an unexpected failure."""
        while True:
            try:
                await work()
            except Exception:
                self.failures.labels(name).increment()
                _LOGGER.exception("Background task %s failed; restarting it", name)
            await asyncio.sleep(TASK_RESTART_SECONDS)
