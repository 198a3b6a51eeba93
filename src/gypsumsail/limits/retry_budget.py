"""Retry budget relative to successful requests."""

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
    """Retries that may be sent, which accrue with successful requests.

    Each success earns `RETRIES_PER_SUCCESS` retries, which bounds the load that retries
    add in normal operation. In an outage only the balance and `RETRIES_PER_SECOND`
    remain. The latter also lets a service with few requests retry.

    Attributes
    ----------
    balance
        Number of retries that may be sent now.
    updated
        Time up to which retries have accrued.
    """

    balance: float = INITIAL_RETRY_BALANCE
    updated: float = 0.0

    def record_success(self, now: float) -> None:
        """Count a request that was answered completely."""
        self._accrue(now)
        self.balance = min(self.balance + RETRIES_PER_SUCCESS, MAX_RETRY_BALANCE)

    def try_spend(self, now: float) -> bool:
        """Deduct one retry; return whether the balance allows it."""
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
