"""Retry budget that needs no coordination between the VMs.

Failing targets would otherwise cause a retry storm. Each VM derives its budget from
its own calls and its share of the slack, so that the sum over all VMs stays within the
limit whatever the other VMs do.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gypsumsail.gateway.const import HEDGE_BUDGET_SHARE, RETRY_BUDGET_SHARE


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimit:
    """Limit on retries that the operator sets.

    Attributes
    ----------
    ratio
        Retries per call within a window.
    window
        Length of the sliding window in seconds.
    slack
        Retries per window that all VMs together may use in addition.
    """

    ratio: float
    window: float
    slack: float


@dataclass(slots=True)
class RetryBudget:
    """Calls and retries of one service on this VM within the sliding window.

    Attributes
    ----------
    hedges
        Times of the second sends of slow calls.
    """

    calls: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)
    hedges: deque[float] = field(default_factory=deque)

    def count_call(self, limit: RetryLimit, now: float) -> None:
        """Count a call."""
        self.calls.append(now)
        self._trim(limit, now)

    def allows(self, limit: RetryLimit, vms: int, now: float) -> bool:
        """Return whether a retry is allowed."""
        allowed = self._allowed(limit, vms, now)
        return len(self.retries) + len(self.hedges) + 1 <= allowed

    def take(self, limit: RetryLimit, vms: int, now: float) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        if not self.allows(limit, vms, now):
            return False
        self.retries.append(now)
        return True

    def allows_hedge(self, limit: RetryLimit, vms: int, now: float) -> bool:
        """Return whether a second send of a slow call is allowed.

        These may use a part of what real retries leave, so that retries come first.
        """
        left = self._allowed(limit, vms, now) - len(self.retries)
        return len(self.hedges) + 1 <= left * HEDGE_BUDGET_SHARE

    def count_hedge(self, now: float) -> None:
        """Count a second send of a slow call."""
        self.hedges.append(now)

    def _allowed(self, limit: RetryLimit, vms: int, now: float) -> float:
        """Return the sends beyond the calls that are allowed within the window."""
        self._trim(limit, now)
        allowed = limit.ratio * len(self.calls) + limit.slack / max(vms, 1)
        return allowed * RETRY_BUDGET_SHARE

    def _trim(self, limit: RetryLimit, now: float) -> None:
        for times in (self.calls, self.retries, self.hedges):
            while times and times[0] <= now - limit.window:
                times.popleft()
