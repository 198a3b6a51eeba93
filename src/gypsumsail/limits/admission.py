"""Admits or sheds requests without waiting."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isfinite
from random import Random

from gypsumsail.limits.bucket import TokenBucket
from gypsumsail.limits.const import (
    BURST_SECONDS,
    GRANT_LIFETIME_SECONDS,
    MAX_BACKLOG_LEAST_URGENT_SECONDS,
    MAX_BACKLOG_MOST_URGENT_SECONDS,
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    PRIORITY_LEVELS,
    RETRY_JITTER_SHARE,
    UNDER_SHARE_FACTOR,
)
from gypsumsail.limits.demand import RateMeter
from gypsumsail.limits.models import (
    Admission,
    AdmitRequest,
    Admitted,
    QuotasByCustomer,
    ShareGrant,
    Shed,
    ShedReason,
)


@dataclass(slots=True)
class CustomerState:
    """State of one customer of a service at one entry.

    Attributes
    ----------
    demand
        Rate of requested tokens, admitted or not.
    bucket
        Credit while the customer is limited; otherwise ``None``.
    """

    demand: RateMeter = field(default_factory=RateMeter)
    bucket: TokenBucket | None = None


@dataclass(slots=True)
class AdmissionState:
    """State of one service at one entry.

    Attributes
    ----------
    quotas
        Shares and limits of the document in force.
    live_entries
        Number of entries believed to be alive, including this one.
    overloaded
        Whether the last grant enforces the customers' shares.
    granted_at
        Time of the last grant. Without a recent grant each entry admits an equal part
        of each limit.
    backlog
        Seconds until the least loaded engine would start a request, as of the last
        request for admission.
    served
        Rate of the tokens of completed requests.
    """

    quotas: QuotasByCustomer
    live_entries: int = 1
    overloaded: bool = False
    granted_at: float = float("-inf")
    backlog: float = 0.0
    served: RateMeter = field(default_factory=RateMeter)
    customers: dict[str, CustomerState] = field(default_factory=dict)

    def customer(self, name: str) -> CustomerState:
        """Return the state of a customer."""
        return self.customers.setdefault(name, CustomerState())

    def on_grant(self, grant: ShareGrant, *, now: float) -> None:
        """Apply the rates granted for the next seconds."""
        self.overloaded = grant.overloaded
        self.granted_at = now
        rates = {row.customer: row.rate for row in grant.rows}
        for name, state in self.customers.items():
            if name in rates:
                _set_rate(state, rates[name], now=now)
            elif isfinite(self.limit(name)):
                _set_rate(state, self.fallback_rate(name), now=now)
            else:
                state.bucket = None

    def limit(self, customer: str) -> float:
        """Return a customer's limit over all entries in tokens per second."""
        quotas = self.quotas.get(customer)
        return quotas.limit if quotas is not None else float("inf")

    def fallback_rate(self, customer: str) -> float:
        """Return the rate of a limited customer without a grant: an equal part."""
        return self.limit(customer) / self.live_entries

    def refresh(self, customer: str, *, now: float) -> CustomerState:
        """Return a customer's state, with a bucket if the customer is limited."""
        state = self.customer(customer)
        limit = self.limit(customer)
        stale = now - self.granted_at > GRANT_LIFETIME_SECONDS
        if isfinite(limit) and (stale or state.bucket is None):
            _set_rate(state, self.fallback_rate(customer), now=now)
        elif stale:
            state.bucket = None
        return state


def admit(
    request: AdmitRequest, state: AdmissionState, now: float, rng: Random
) -> Admission:
    """Admit or shed a request, and count it."""
    customer = state.refresh(request.customer, now=now)
    customer.demand.add(request.tokens, now=now)
    state.backlog = request.backlog
    bucket = customer.bucket
    if bucket is not None and not bucket.has_credit(now=now):
        return _shed(_limit_reason(state, request), bucket.wait(now=now), rng)
    max_backlog = backlog_limit(request.priority)
    if bucket is not None and state.overloaded and bucket.is_full(now=now):
        max_backlog *= UNDER_SHARE_FACTOR
    if request.backlog > max_backlog:
        return _shed(ShedReason.OVERLOAD, request.backlog - max_backlog, rng)
    if bucket is not None:
        bucket.consume(request.tokens, now=now)
    return Admitted()


def backlog_limit(priority: int) -> float:
    """Return the backlog in seconds up to which a priority is admitted."""
    step = (MAX_BACKLOG_LEAST_URGENT_SECONDS / MAX_BACKLOG_MOST_URGENT_SECONDS) ** (
        1 / (PRIORITY_LEVELS - 1)
    )
    return float(MAX_BACKLOG_MOST_URGENT_SECONDS * step**priority)


def _set_rate(state: CustomerState, rate: float, *, now: float) -> None:
    if state.bucket is None:
        credit = rate * BURST_SECONDS
        state.bucket = TokenBucket(rate=rate, credit=credit, updated=now)
        return
    state.bucket.set_rate(rate, now=now)


def _limit_reason(state: AdmissionState, request: AdmitRequest) -> ShedReason:
    if state.overloaded:
        return ShedReason.SHARE
    return ShedReason.LIMIT


def _shed(reason: ShedReason, wait: float, rng: Random) -> Shed:
    wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    return Shed(
        reason=reason, retry_after=wait * (1 + RETRY_JITTER_SHARE * rng.random())
    )
