"""Whether a store is used, and how it comes back into use."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from gypsumsail.tiers.const import (
    BACKOFF_JITTER_SHARE,
    FIRST_BACKOFF_SECONDS,
    LONGEST_BACKOFF_SECONDS,
)


@dataclass(slots=True)
class StoreHealth:
    """Result of the last calls to a store.

    Attributes
    ----------
    failures
        Failed calls since the last one that went well.
    closed_until
        Time before which the store is left alone.
    """

    failures: int = 0
    closed_until: float = float("-inf")

    def usable(self, *, now: float) -> bool:
        """Return whether the store may be used; after a backoff it is tried."""
        return now >= self.closed_until

    def on_success(self) -> None:
        """Take a call that went well."""
        self.failures = 0
        self.closed_until = float("-inf")

    def on_failure(self, rng: Random, *, now: float) -> None:
        """Take a call that failed; those already under way don't add to it."""
        if not self.usable(now=now):
            return
        self.failures += 1
        pause = min(
            FIRST_BACKOFF_SECONDS * 2.0 ** (self.failures - 1), LONGEST_BACKOFF_SECONDS
        )
        self.closed_until = now + pause * (1 + BACKOFF_JITTER_SHARE * rng.random())
