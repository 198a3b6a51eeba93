"""Backoff after failed calls to a store."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from gypsumsail.tiers.const import (
    BACKOFF_JITTER_SHARE,
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
)


@dataclass(slots=True)
class StoreHealth:
    """Health of a store by the results of recent calls.

    Attributes
    ----------
    backoffs
        Number of backoffs since the last successful call.
    unavailable_until
        End of the current backoff; the store is not used before.
    """

    backoffs: int = 0
    unavailable_until: float = float("-inf")

    def usable(self, *, now: float) -> bool:
        """Return whether the store may be used; it is retried after the backoff."""
        return now >= self.unavailable_until

    def on_success(self) -> None:
        """Record a successful call and end the backoff."""
        self.backoffs = 0
        self.unavailable_until = float("-inf")

    def on_failure(self, rng: Random, *, now: float) -> None:
        """Record a failed call and start a longer backoff.

        Failures during a backoff are ignored, because those calls were already in
        flight when the backoff began.
        """
        if not self.usable(now=now):
            return
        self.backoffs += 1
        backoff = min(
            INITIAL_BACKOFF_SECONDS * 2.0 ** (self.backoffs - 1), MAX_BACKOFF_SECONDS
        )
        self.unavailable_until = now + backoff * (
            1 + BACKOFF_JITTER_SHARE * rng.random()
        )
