"""Estimate of how likely and how soon a prompt is requested again."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log2

from gypsumsail.tiers.const import (
    FIRST_BUCKET_START_SECONDS,
    INTERVAL_BUCKETS,
    PRIOR_REQUESTS,
    PRIOR_REUSE_SHARE,
    REUSE_DECAY,
)


@dataclass(slots=True)
class CustomerReuse:
    """Exponentially decayed counts of the requests of one customer.

    Attributes
    ----------
    requests
        Requests of the customer.
    reuses
        Requests with a prompt that was requested before.
    """

    requests: float = 0.0
    reuses: float = 0.0


@dataclass(slots=True)
class ReuseModel:
    """Estimate of one entry on the reuse of prompts of one service.

    In a steady state, the share of requests that reuse a prompt equals the
    probability that an answer is followed by another request with the same prompt.

    Attributes
    ----------
    customers
        Counts by customer.
    intervals
        Histogram of the seconds between a request and the reuse of its prompt, with
        exponentially decayed counts and bucket widths that double.
    """

    customers: dict[str, CustomerReuse] = field(default_factory=dict)
    intervals: list[float] = field(default_factory=lambda: [0.0] * INTERVAL_BUCKETS)

    def observe(self, customer: str, interval: float | None) -> None:
        """Record a request.

        The ``interval`` is in seconds since the last request with the same prompt,
        and ``None`` for a new prompt.
        """
        counts = self.customers.setdefault(customer, CustomerReuse())
        counts.requests = counts.requests * REUSE_DECAY + 1
        counts.reuses *= REUSE_DECAY
        if interval is None:
            return
        counts.reuses += 1
        self.intervals = [count * REUSE_DECAY for count in self.intervals]
        self.intervals[_bucket(interval)] += 1

    def probability(self, customer: str) -> float:
        """Return the probability that an answered prompt is requested again."""
        counts = self.customers.get(customer, CustomerReuse())
        reuses = counts.reuses + PRIOR_REUSE_SHARE * PRIOR_REQUESTS
        return reuses / (counts.requests + PRIOR_REQUESTS)

    def probability_within(self, idle: float, window: float) -> float:
        """Return the probability that a reuse happens in the next ``window`` seconds.

        The probability is conditional on the prompt being reused at all, and on it
        having been idle for ``idle`` seconds. It is 0 without observations.
        """
        longer = [
            count
            for bucket, count in enumerate(self.intervals)
            if _bucket_end(bucket) > idle
        ]
        first = INTERVAL_BUCKETS - len(longer)
        matching = sum(
            count
            for bucket, count in enumerate(longer, start=first)
            if _bucket_end(bucket) <= max(idle, FIRST_BUCKET_START_SECONDS) + window
        )
        total = sum(longer)
        return matching / total if total > 0 else 0.0


def _bucket(interval: float) -> int:
    """Return the index of the histogram bucket of an interval."""
    steps = max(
        log2(max(interval, FIRST_BUCKET_START_SECONDS) / FIRST_BUCKET_START_SECONDS),
        0.0,
    )
    return min(int(steps), INTERVAL_BUCKETS - 1)


def _bucket_end(bucket: int) -> float:
    return float(FIRST_BUCKET_START_SECONDS * 2 ** (bucket + 1))
