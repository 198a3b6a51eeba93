"""How likely, and how soon, callers come back to a prompt."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log2

from gypsumsail.tiers.const import (
    FIRST_GAP_SECONDS,
    GAP_BUCKETS,
    PRIOR_REQUESTS,
    PRIOR_RETURN_SHARE,
    RETURN_FADING,
)


@dataclass(slots=True)
class CustomerReturns:
    """Fading counts of one customer's requests."""

    requests: float = 0.0
    returns: float = 0.0


@dataclass(slots=True)
class ReturnModel:
    """What one entry has learnt about returns to one service.

    In a steady state the share of requests that are returns is the chance that
    an answer is followed by another request on the same prompt.

    Attributes
    ----------
    gaps
        Fading counts of the seconds between a request and the return, in buckets
        that double.
    """

    customers: dict[str, CustomerReturns] = field(default_factory=dict)
    gaps: list[float] = field(default_factory=lambda: [0.0] * GAP_BUCKETS)

    def observe(self, customer: str, gap: float | None) -> None:
        """Take a request: ``gap`` seconds after the last one, or a new prompt."""
        counts = self.customers.setdefault(customer, CustomerReturns())
        counts.requests = counts.requests * RETURN_FADING + 1
        counts.returns *= RETURN_FADING
        if gap is None:
            return
        counts.returns += 1
        self.gaps = [count * RETURN_FADING for count in self.gaps]
        self.gaps[_bucket(gap)] += 1

    def probability(self, customer: str) -> float:
        """Return the chance that an answered prompt comes back."""
        counts = self.customers.get(customer, CustomerReturns())
        returns = counts.returns + PRIOR_RETURN_SHARE * PRIOR_REQUESTS
        return returns / (counts.requests + PRIOR_REQUESTS)

    def soon(self, idle: float, within: float) -> float:
        """Return the chance that a return comes within some seconds.

        It counts among the prompts that do return and were idle as long.
        """
        later = [count for bucket, count in enumerate(self.gaps) if _end(bucket) > idle]
        first = GAP_BUCKETS - len(later)
        near = sum(
            count
            for bucket, count in enumerate(later, start=first)
            if _end(bucket) <= max(idle, FIRST_GAP_SECONDS) + within
        )
        total = sum(later)
        return near / total if total > 0 else 0.0


def _bucket(gap: float) -> int:
    steps = max(log2(max(gap, FIRST_GAP_SECONDS) / FIRST_GAP_SECONDS), 0.0)
    return min(int(steps), GAP_BUCKETS - 1)


def _end(bucket: int) -> float:
    return float(FIRST_GAP_SECONDS * 2 ** (bucket + 1))
