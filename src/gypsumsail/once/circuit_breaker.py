"""When the platform is left alone after a failure."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.const import CIRCUIT_OPEN_SECONDS


@dataclass(slots=True, kw_only=True)
class PlatformCircuitBreaker:
    """Circuit breaker shared by the partitions of an entry.

    Attributes
    ----------
    until
        Monotonic time before which no call is made.
    failing
        Whether the last call failed.
    probing
        Whether one call tries the platform after a pause; others wait for it.
    """

    open_until: float = float("-inf")
    failing: bool = False
    probing: bool = False

    def allow_call(self, now: float) -> bool:
        """Return whether a call may be made; after a pause only to one caller."""
        if now < self.open_until:
            return False
        if not self.failing:
            return True
        if self.probing:
            return False
        self.probing = True
        return True

    def record_success(self) -> None:
        """Note that a call was answered."""
        self.failing = False
        self.probing = False

    def record_failure(self, now: float) -> None:
        """Note that a call failed."""
        self.failing = True
        self.probing = False
        self.open_until = now + CIRCUIT_OPEN_SECONDS
