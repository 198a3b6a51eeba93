"""Decides which engines to avoid, based on the failures of earlier jobs."""

from __future__ import annotations

from collections import deque
from typing import Final

LOSS_THRESHOLD: Final = 2
"""Lost connections within `LOSS_WINDOW_SECONDS` at which an engine is avoided."""

LOSS_WINDOW_SECONDS: Final = 10.0
"""Time for which lost connections count against an engine."""


class EngineHealth:
    """Failures of the engines that this entry sent jobs to.

    Attributes
    ----------
    unreachable
        Engines that were unreachable or refused a request since their last report.
    losses
        Monotonic times of the last interrupted answers, by engine.
    """

    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.losses: dict[str, deque[float]] = {}

    def on_report(self, target: str) -> None:
        """Record that a load report of the engine was received."""
        self.unreachable.discard(target)

    def on_unreachable(self, target: str) -> None:
        """Record that the engine was unreachable or refused a request."""
        self.unreachable.add(target)

    def on_connection_lost(self, target: str, now: float) -> None:
        """Record that an answer of the engine was interrupted."""
        times = self.losses.setdefault(target, deque(maxlen=LOSS_THRESHOLD))
        times.append(now)

    def is_healthy(self, target: str, now: float) -> bool:
        """Return whether the engine is preferred.

        An unhealthy engine is used only if no healthy one may serve the job.
        """
        if target in self.unreachable:
            return False
        times = self.losses.get(target)
        if times is None or len(times) < LOSS_THRESHOLD:
            return True
        return now - times[0] > LOSS_WINDOW_SECONDS
