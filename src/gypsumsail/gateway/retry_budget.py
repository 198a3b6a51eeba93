"""Budget of repeated sends that all VMs share without asking each other.

Answers the load in which targets fail much of what they get: each VM spends its
part of what is allowed, counted from its own calls, so that the sum over all VMs
keeps the limit whatever the others do.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from gypsumsail.gateway.const import RETRY_BUDGET_SHARE


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimit:
    """What the operator allows.

    Attributes
    ----------
    ratio
        Repeated sends for each call, in any window.
    window
        Length of a window in seconds.
    slack
        Repeated sends that are allowed beside, of all VMs together.
    """

    ratio: float
    window: float
    slack: float


@dataclass(slots=True)
class RetryBudget:
    """Calls and repeated sends of one service on this VM, in the last window."""

    calls: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def count_call(self, limit: RetryLimit, now: float) -> None:
        """Count a caller's request."""
        self.calls.append(now)
        self._trim(limit, now)

    def allows(self, limit: RetryLimit, vms: int, now: float) -> bool:
        """Return whether a repeated send is allowed."""
        self._trim(limit, now)
        allowed = limit.ratio * len(self.calls) + limit.slack / max(vms, 1)
        return len(self.retries) + 1 <= allowed * RETRY_BUDGET_SHARE

    def take(self, limit: RetryLimit, vms: int, now: float) -> bool:
        """Return whether a repeated send is allowed, and count it."""
        if not self.allows(limit, vms, now):
            return False
        self.retries.append(now)
        return True

    def _trim(self, limit: RetryLimit, now: float) -> None:
        for times in (self.calls, self.retries):
            while times and times[0] <= now - limit.window:
                times.popleft()
