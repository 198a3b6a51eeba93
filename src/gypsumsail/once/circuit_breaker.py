"""Circuit breaker of commits to the platform."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.const import CIRCUIT_OPEN_SECONDS


@dataclass(slots=True, kw_only=True)
class PlatformCircuitBreaker:
    """Circuit breaker shared by the partitions of an entry.

    Attributes
    ----------
    open_until
        Monotonic time until which no commit is allowed.
    failing
        Whether the last commit failed because the platform did not answer or did not
        confirm it.
    probing
        Whether a probe is in flight after the breaker was open; other commits are
        rejected until it ends. It stays set if the probe is cancelled before its
        batch starts, until a commit that was allowed earlier ends; without one, all
        later commits of the entry are rejected.
    """

    open_until: float = float("-inf")
    failing: bool = False
    probing: bool = False

    def try_acquire_call(self, now: float) -> bool:
        """Return whether a call is allowed.

        After a failure one call at a time is allowed as a probe until one succeeds.
        Returning ``True`` in this state claims the probe; a probe that is dropped
        before its commit is not released, see ``probing``.
        """
        if now < self.open_until:
            return False
        if not self.failing:
            return True
        if self.probing:
            return False
        self.probing = True
        return True

    def record_success(self) -> None:
        """Close the breaker after a successful call."""
        self.failing = False
        self.probing = False

    def record_failure(self, now: float) -> None:
        """Open the breaker after a failed call."""
        self.failing = True
        self.probing = False
        self.open_until = now + CIRCUIT_OPEN_SECONDS
