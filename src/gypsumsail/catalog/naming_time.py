"""Estimates when a weight version was named, if this VM could not see it at once.

Calls may start on older weights for a limited time after the naming. A VM that was
suspended, or has just started, learns of a version later than the others.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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
    told
        Times at which versions of models were named, as other VMs told at the start of
        this one.
    """

    ticked_at: float | None = None
    gap_started_at: float = float("-inf")
    gap_ended_at: float = float("-inf")
    told: dict[tuple[str, int], float] = field(default_factory=dict)

    def tick(self, now: float) -> bool:
        """Record that the main loop runs; return whether a gap has ended."""
        has_gap = self.is_in_gap(now)
        if self.ticked_at is not None and has_gap:
            self.gap_started_at, self.gap_ended_at = self.ticked_at, now
        self.ticked_at = now
        return has_gap

    def is_in_gap(self, now: float) -> bool:
        """Return whether a gap has ended that `tick` has not seen yet."""
        return self.ticked_at is not None and now - self.ticked_at > CLOCK_GAP_SECONDS

    def earliest(self, model: str, version: int, now: float) -> float:
        """Return the earliest time at which a version seen only now was named."""
        told = self.told.get((model, version), now)
        return min(told, self._earliest_unseen(now))

    def record_told(self, model: str, version: int, named_at: float) -> None:
        """Record when a version was named, as another VM tells."""
        self.told[(model, version)] = min(
            named_at, self.told.get((model, version), named_at)
        )

    def told_before(self, model: str, version: int) -> dict[int, float]:
        """Return the told times of the earlier versions of a model, by version."""
        return {
            told: at
            for (name, told), at in self.told.items()
            if name == model and told < version
        }

    def _earliest_unseen(self, now: float) -> float:
        """Return the earliest time at which this VM can have missed a naming."""
        if self.ticked_at is not None and self.is_in_gap(now):
            return self.ticked_at
        if now - self.gap_ended_at < GAP_CATCH_UP_SECONDS:
            return self.gap_started_at
        return now
