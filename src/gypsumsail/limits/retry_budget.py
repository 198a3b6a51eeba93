"""Budget of retries relative to successes."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import (
    MOST_SAVED_RETRIES,
    RETRIES_PER_SECOND,
    RETRIES_PER_SUCCESS,
    STARTING_RETRIES,
)


@dataclass(slots=True)
class RetryBudget:
    """Retries that may be sent, earned by successes.

    In normal work they add at most `RETRIES_PER_SUCCESS` of the load, and in an
    outage what was saved and `RETRIES_PER_SECOND`, which lets a service with few
    requests retry at all.
    """

    saved: float = STARTING_RETRIES
    updated: float = 0.0

    def succeeded(self, now: float) -> None:
        """Count a request that ended with its whole answer."""
        self._earn(now)
        self.saved = min(self.saved + RETRIES_PER_SUCCESS, MOST_SAVED_RETRIES)

    def take(self, now: float) -> bool:
        """Return whether a retry may be sent, and count it."""
        self._earn(now)
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

    def _earn(self, now: float) -> None:
        earned = max(now - self.updated, 0.0) * RETRIES_PER_SECOND
        self.updated = max(now, self.updated)
        if self.saved < STARTING_RETRIES:
            self.saved = min(self.saved + earned, STARTING_RETRIES)
