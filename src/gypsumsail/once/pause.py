"""When the platform is left alone after a failure."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.once.const import PLATFORM_PAUSE_SECONDS


@dataclass(slots=True, kw_only=True)
class PlatformPause:
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

    until: float = float("-inf")
    failing: bool = False
    probing: bool = False

    def may_call(self, now: float) -> bool:
        """Return whether a call may be made; after a pause only to one caller."""
        if now < self.until:
            return False
        if not self.failing:
            return True
        if self.probing:
            return False
        self.probing = True
        return True

    def succeeded(self) -> None:
        """Note that a call was answered."""
        self.failing = False
        self.probing = False

    def failed(self, now: float) -> None:
        """Note that a call failed."""
        self.failing = True
        self.probing = False
        self.until = now + PLATFORM_PAUSE_SECONDS
