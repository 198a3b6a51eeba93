"""Estimates when a weight version was named, if this VM could not see it at once.

Calls may start on older weights for a limited time after the naming. A VM that was
suspended, or has just started, learns of a version later than the others.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.catalog.const import CLOCK_GAP_SECONDS, GAP_CATCH_UP_SECONDS


@dataclass(slots=True)
class NamingTime:
    """Tracks the gaps in which this process did not run.

    Attributes
    ----------
    ticked_at
        Time of the last tick of the main loop; ``None`` before the first one.
    gap_started_at, gap_ended_at
        Last ticks before and first tick after the latest gap.
    """

    ticked_at: float | None = None
    gap_started_at: float = float("-inf")
    gap_ended_at: float = float("-inf")

    def tick(self, now: float) -> None:
        """Record that the main loop runs."""
        if self.ticked_at is not None and now - self.ticked_at > CLOCK_GAP_SECONDS:
            self.gap_started_at, self.gap_ended_at = self.ticked_at, now
        self.ticked_at = now

    def earliest(self, now: float) -> float:
        """Return the earliest time at which a version seen only now was named."""
        if self.ticked_at is not None and now - self.ticked_at > CLOCK_GAP_SECONDS:
            return self.ticked_at
        if now - self.gap_ended_at < GAP_CATCH_UP_SECONDS:
            return self.gap_started_at
        return now
