"""Token bucket that allows debt."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import BURST_SECONDS


@dataclass(slots=True)
class TokenBucket:
    """Credit that accrues at a rate, up to `BURST_SECONDS` of that rate.

    A request of any size may start while there is credit. An amount beyond the credit
    becomes a debt that is paid off before the next request starts. Otherwise a request
    larger than the burst could never start.

    The unit of all amounts is that of the limit: LLM tokens for a customer, bytes for
    `LINK_CUSTOMER`.

    Attributes
    ----------
    rate
        Credit per second.
    credit
        Available amount; negative for a debt.
    updated
        Time up to which credit has accrued.
    """

    rate: float
    credit: float
    updated: float

    def set_rate(self, rate: float, *, now: float) -> None:
        """Change the rate; accrued credit is capped at the new burst."""
        self._accrue(now)
        self.rate = rate
        self.credit = min(self.credit, self.burst)

    @property
    def burst(self) -> float:
        """Return the maximum credit that is accrued."""
        return self.rate * BURST_SECONDS

    def is_full(self, *, now: float) -> bool:
        """Return whether the bucket has its maximum credit."""
        self._accrue(now)
        return self.credit >= self.burst

    def has_credit(self, *, now: float) -> bool:
        """Return whether a request may start."""
        self._accrue(now)
        return self.credit > 0

    def consume(self, amount: float, *, now: float) -> None:
        """Deduct an amount, which may result in a debt."""
        self._accrue(now)
        self.credit -= amount

    def refund(self, amount: float) -> None:
        """Return an amount that was deducted but not used."""
        self.credit = min(self.credit + amount, max(self.burst, self.credit))

    def wait(self, *, now: float) -> float:
        """Return the seconds until a request may start."""
        self._accrue(now)
        if self.credit > 0:
            return 0.0
        return -self.credit / self.rate if self.rate > 0 else float("inf")

    def _accrue(self, now: float) -> None:
        accrued = max(now - self.updated, 0.0) * self.rate
        self.credit = min(self.credit + accrued, max(self.burst, self.credit))
        self.updated = max(now, self.updated)
