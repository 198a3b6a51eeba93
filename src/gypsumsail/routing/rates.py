"""Speeds learnt from outcomes."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.routing.const import RATE_HALF_LIFE_SECONDS, RATE_PRIOR_SECONDS


@dataclass(slots=True, kw_only=True)
class RateEstimate:
    """Amount per second, as a ratio of two sums that fade with time.

    A ratio of sums gives long observations their weight; a mean of ratios
    would be led by the many short ones.

    Attributes
    ----------
    prior
        Rate that is assumed until outcomes outweigh it.
    """

    prior: float
    amount: float = 0.0
    seconds: float = 0.0
    updated: float = 0.0

    def observe(self, amount: float, seconds: float, *, now: float) -> None:
        """Take one outcome: so much was done in so many seconds."""
        if amount <= 0 or seconds <= 0:
            return
        decay = self._decay(now)
        self.amount = self.amount * decay + amount
        self.seconds = self.seconds * decay + seconds
        self.updated = max(now, self.updated)

    def rate(self, *, now: float, prior: float | None = None) -> float:
        """Return the amount per second; ``prior`` stands in for the own one."""
        decay = self._decay(now)
        assumed = self.prior if prior is None else prior
        amount = self.amount * decay + assumed * RATE_PRIOR_SECONDS
        return amount / (self.seconds * decay + RATE_PRIOR_SECONDS)

    def _decay(self, now: float) -> float:
        age = max(now - self.updated, 0.0)
        return float(0.5 ** (age / RATE_HALF_LIFE_SECONDS))
