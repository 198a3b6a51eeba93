"""How likely, and how soon, callers come back to a prompt."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log2

from gypsumsail.tiers.const import (
    INTERVAL_BUCKETS,
    MIN_INTERVAL_SECONDS,
    PRIOR_REQUESTS,
    PRIOR_REUSE_SHARE,
    REUSE_DECAY,
)


@dataclass(slots=True)
class CustomerReuse:
    """Fading counts of one customer's requests."""

    requests: float = 0.0
    reuses: float = 0.0


@dataclass(slots=True)
class ReuseModel:
    """What one entry has learnt about returns to one service.

    In a steady state the share of requests that are returns is the chance that
    an answer is followed by another request on the same prompt.

    Attributes
    ----------
    intervals
        Fading counts of the seconds between a request and the return, in buckets
        that double.
    """

    customers: dict[str, CustomerReuse] = field(default_factory=dict)
    intervals: list[float] = field(default_factory=lambda: [0.0] * INTERVAL_BUCKETS)

    def observe(self, customer: str, interval: float | None) -> None:
        """Take a request: ``interval`` seconds after the last one, or a new prompt."""
        counts = self.customers.setdefault(customer, CustomerReuse())
        counts.requests = counts.requests * REUSE_DECAY + 1
        counts.reuses *= REUSE_DECAY
        if interval is None:
            return
        counts.reuses += 1
        self.intervals = [count * REUSE_DECAY for count in self.intervals]
        self.intervals[_bucket(interval)] += 1

    def probability(self, customer: str) -> float:
        """Return the chance that an answered prompt comes back."""
        counts = self.customers.get(customer, CustomerReuse())
        reuses = counts.reuses + PRIOR_REUSE_SHARE * PRIOR_REQUESTS
        return reuses / (counts.requests + PRIOR_REQUESTS)

    def probability_within(self, idle: float, within: float) -> float:
        """Return the chance that a return comes within some seconds.

        It counts among the prompts that do return and were idle as long.
        """
        later = [
            count
            for bucket, count in enumerate(self.intervals)
            if _bucket_end(bucket) > idle
        ]
        first = INTERVAL_BUCKETS - len(later)
        near = sum(
            count
            for bucket, count in enumerate(later, start=first)
            if _bucket_end(bucket) <= max(idle, MIN_INTERVAL_SECONDS) + within
        )
        total = sum(later)
        return near / total if total > 0 else 0.0


def _bucket(interval: float) -> int:
    steps = max(log2(max(interval, MIN_INTERVAL_SECONDS) / MIN_INTERVAL_SECONDS), 0.0)
    return min(int(steps), INTERVAL_BUCKETS - 1)


def _bucket_end(bucket: int) -> float:
    return float(MIN_INTERVAL_SECONDS * 2 ** (bucket + 1))
