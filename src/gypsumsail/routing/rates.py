"""Estimates rates from observed amounts and durations."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.routing.const import RATE_HALF_LIFE_SECONDS, RATE_PRIOR_SECONDS


@dataclass(slots=True, kw_only=True)
class RateEstimate:
    """Amount per second, as the ratio of two exponentially decayed sums.

    A ratio of sums weights each observation by its duration. A mean of ratios would be
    dominated by the many short observations.

    Attributes
    ----------
    prior
        Rate that is assumed until the observations outweigh it.
    amount, seconds
        Decayed sums of the observed amounts and durations.
    updated
        Time of the last observation.
    """

    prior: float
    amount: float = 0.0
    seconds: float = 0.0
    updated: float = 0.0

    def observe(self, amount: float, seconds: float, *, now: float) -> None:
        """Record that an amount was processed in a number of seconds."""
        if amount <= 0 or seconds <= 0:
            return
        decay = self._decay(now)
        self.amount = self.amount * decay + amount
        self.seconds = self.seconds * decay + seconds
        self.updated = max(now, self.updated)

    def rate(self, *, now: float, prior: float | None = None) -> float:
        """Return the amount per second; ``prior`` replaces the estimate's own prior."""
        decay = self._decay(now)
        assumed = self.prior if prior is None else prior
        amount = self.amount * decay + assumed * RATE_PRIOR_SECONDS
        return amount / (self.seconds * decay + RATE_PRIOR_SECONDS)

    def _decay(self, now: float) -> float:
        age = max(now - self.updated, 0.0)
        return float(0.5 ** (age / RATE_HALF_LIFE_SECONDS))
