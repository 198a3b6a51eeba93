"""Data classes of cold targets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdTerms:
    """What the operator states about cold targets of one service.

    Attributes
    ----------
    seconds
        Seconds for which a target is cold after it starts.
    per_second
        Requests per second that one cold target tolerates from all VMs together.
    """

    seconds: float
    per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdBound:
    """Bound on the requests that a cold target gets in any second from all VMs.

    Attributes
    ----------
    over
        Factor on the rate that the target tolerates.
    slack
        Number of requests that is added.
    """

    over: float = 1.5
    slack: float = 5.0

    def requests(self, per_second: float) -> float:
        """Return the requests that a target with a tolerated rate may get."""
        return per_second * self.over + self.slack


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedCold:
    """An answer states for how many seconds its target stays cold; 0 for not cold."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class InvalidCold:
    """An answer states a cold time that can't be read."""

    text: str


ColdStatement = NamedCold | InvalidCold
