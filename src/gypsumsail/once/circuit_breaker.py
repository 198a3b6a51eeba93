"""Circuit breaker of commits to the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from gypsumsail.once.const import CIRCUIT_OPEN_SECONDS


class CallPermit(Enum):
    """Permission of one call.

    Attributes
    ----------
    DENIED
        The call must not be made.
    ALLOWED
        The call may be made.
    PROBE
        The call may be made, and other calls wait for its result.
    """

    DENIED = auto()
    ALLOWED = auto()
    PROBE = auto()


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
        rejected until it ends or is released.
    """

    open_until: float = float("-inf")
    failing: bool = False
    probing: bool = False

    def acquire_call(self, now: float) -> CallPermit:
        """Return whether a call is allowed.

        After a failure one call at a time is allowed as a probe until one succeeds.
        The holder of a probe ends it by recording a result, or releases it if the call
        is never made.
        """
        if now < self.open_until:
            return CallPermit.DENIED
        if not self.failing:
            return CallPermit.ALLOWED
        if self.probing:
            return CallPermit.DENIED
        self.probing = True
        return CallPermit.PROBE

    def release_probe(self) -> None:
        """Let another call probe, because the probe's call is not made."""
        self.probing = False

    def record_success(self) -> None:
        """Close the breaker after a successful call."""
        self.failing = False
        self.probing = False

    def record_failure(self, now: float) -> None:
        """Open the breaker after a failed call."""
        self.failing = True
        self.probing = False
        self.open_until = now + CIRCUIT_OPEN_SECONDS
