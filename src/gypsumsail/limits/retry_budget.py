"""Budget of retries relative to successes."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import (
    MOST_SAVED_RETRIES,
    RETRIES_PER_SUCCESS,
    STARTING_RETRIES,
)


@dataclass(slots=True)
class RetryBudget:
    """Retries that may be sent, earned by successes.

    In an outage there are none, so that retries add at most what was saved, and
    in normal work at most `RETRIES_PER_SUCCESS` of the load.
    """

    saved: float = STARTING_RETRIES

    def on_success(self) -> None:
        """Count a request that ended with its whole answer."""
        self.saved = min(self.saved + RETRIES_PER_SUCCESS, MOST_SAVED_RETRIES)

    def take(self) -> bool:
        """Return whether a retry may be sent, and count it."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
