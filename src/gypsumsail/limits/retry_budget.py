"""Budget of retries relative to successes."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import (
    INITIAL_RETRY_BALANCE,
    MAX_RETRY_BALANCE,
    RETRIES_PER_SECOND,
    RETRIES_PER_SUCCESS,
)


@dataclass(slots=True)
class RetryBudget:
    """Retries that may be sent, accrued by successes.

    In normal work they add at most `RETRIES_PER_SUCCESS` of the load, and in an
    outage what was saved and `RETRIES_PER_SECOND`, which lets a service with few
    requests retry at all.
    """

    balance: float = INITIAL_RETRY_BALANCE
    updated: float = 0.0

    def record_success(self, now: float) -> None:
        """Count a request that ended with its whole answer."""
        self._accrue(now)
        self.balance = min(self.balance + RETRIES_PER_SUCCESS, MAX_RETRY_BALANCE)

    def try_spend(self, now: float) -> bool:
        """Return whether a retry may be sent, and count it."""
        self._accrue(now)
        if self.balance < 1:
            return False
        self.balance -= 1
        return True

    def _accrue(self, now: float) -> None:
        accrued = max(now - self.updated, 0.0) * RETRIES_PER_SECOND
        self.updated = max(now, self.updated)
        if self.balance < INITIAL_RETRY_BALANCE:
            self.balance = min(self.balance + accrued, INITIAL_RETRY_BALANCE)
