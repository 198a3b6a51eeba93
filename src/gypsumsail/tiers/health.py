"""Whether a store is used, and how it comes back into use."""

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
    """Result of the last calls to a store.

    Attributes
    ----------
    failures
        Failed calls since the last one that succeeded.
    unavailable_until
        Time before which the store is left alone.
    """

    failures: int = 0
    unavailable_until: float = float("-inf")

    def usable(self, *, now: float) -> bool:
        """Return whether the store may be used; after a backoff it is tried."""
        return now >= self.unavailable_until

    def on_success(self) -> None:
        """Take a call that succeeded."""
        self.failures = 0
        self.unavailable_until = float("-inf")

    def on_failure(self, rng: Random, *, now: float) -> None:
        """Take a call that failed; those already under way don't add to it."""
        if not self.usable(now=now):
            return
        self.failures += 1
        backoff = min(
            INITIAL_BACKOFF_SECONDS * 2.0 ** (self.failures - 1), MAX_BACKOFF_SECONDS
        )
        self.unavailable_until = now + backoff * (
            1 + BACKOFF_JITTER_SHARE * rng.random()
        )
