"""Measures the rate of demand."""

from __future__ import annotations

from dataclasses import dataclass
from math import log

from gypsumsail.limits.const import DEMAND_HALF_LIFE_SECONDS

_DECAY_PER_SECOND = log(2) / DEMAND_HALF_LIFE_SECONDS


@dataclass(slots=True)
class RateMeter:
    """Amount per second over the last few seconds.

    Attributes
    ----------
    amount
        Sum of the amounts, which decays with a half-life of `DEMAND_HALF_LIFE_SECONDS`.
    updated
        Time of the last amount.
    """

    amount: float = 0.0
    updated: float = 0.0

    def add(self, amount: float, *, now: float) -> None:
        """Add an amount."""
        self.amount = self._decayed(now) + amount
        self.updated = max(now, self.updated)

    def rate(self, *, now: float) -> float:
        """Return the amount per second; a steady stream yields its own rate."""
        return self._decayed(now) * _DECAY_PER_SECOND

    def _decayed(self, now: float) -> float:
        age = max(now - self.updated, 0.0)
        return float(self.amount * 0.5 ** (age / DEMAND_HALF_LIFE_SECONDS))
