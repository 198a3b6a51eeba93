"""Token bucket that may go into debt."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import BURST_SECONDS


@dataclass(slots=True)
class TokenBucket:
    """Credit that grows at a rate up to `BURST_SECONDS` of it.

    A request of any size may start while there is credit, and what it takes
    beyond is paid back before the next one: otherwise one larger than the burst
    could never start.

    Attributes
    ----------
    credit
        Tokens; negative when in debt.
    """

    rate: float
    credit: float
    updated: float

    def set_rate(self, rate: float, *, now: float) -> None:
        """Change the rate; credit accrued so far stays within the new burst."""
        self._accrue(now)
        self.rate = rate
        self.credit = min(self.credit, self.burst)

    @property
    def burst(self) -> float:
        """Return the most credit that is kept."""
        return self.rate * BURST_SECONDS

    def is_full(self, *, now: float) -> bool:
        """Return whether no credit was used lately."""
        self._accrue(now)
        return self.credit >= self.burst

    def has_credit(self, *, now: float) -> bool:
        """Return whether a request may start."""
        self._accrue(now)
        return self.credit > 0

    def consume(self, amount: float, *, now: float) -> None:
        """Count an amount, into debt if need be."""
        self._accrue(now)
        self.credit -= amount

    def refund(self, amount: float) -> None:
        """Take back what was counted and not used."""
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
