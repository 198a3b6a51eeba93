"""Decides which engines jobs keep off, by what happened to earlier ones."""

from __future__ import annotations

from collections import deque
from typing import Final

LOSS_THRESHOLD: Final = 2
LOSS_WINDOW_SECONDS: Final = 10.0


class EngineHealth:
    """What this entry saw of the engines that it sent jobs to.

    Attributes
    ----------
    unreachable
        Engines that took no work since an entry last read them.
    losses
        Times of the last answers that broke off, by engine.
    """

    def __init__(self) -> None:
        self.unreachable: set[str] = set()
        self.losses: dict[str, deque[float]] = {}

    def on_report(self, target: str) -> None:
        """Note that an entry read the engine."""
        self.unreachable.discard(target)

    def on_unreachable(self, target: str) -> None:
        """Note that the engine could not be reached, or took no work."""
        self.unreachable.add(target)

    def on_connection_lost(self, target: str, now: float) -> None:
        """Note that an answer of the engine broke off."""
        times = self.losses.setdefault(target, deque(maxlen=LOSS_THRESHOLD))
        times.append(now)

    def is_healthy(self, target: str, now: float) -> bool:
        """Return whether jobs should go there when others may have them too."""
        if target in self.unreachable:
            return False
        times = self.losses.get(target)
        if times is None or len(times) < LOSS_THRESHOLD:
            return True
        return now - times[0] > LOSS_WINDOW_SECONDS
