"""Work that arrives at a line."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from gypsumsail.gateway.const import ARRIVAL_DECAY_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoteLoad:
    """What other VMs have for the targets of a service.

    Attributes
    ----------
    waiting_seconds
        Work that waits there.
    offered_load
        Workers that the calls which arrive there would keep busy.
    """

    waiting_seconds: float = 0.0
    offered_load: float = 0.0


@dataclass(slots=True)
class ArrivalRate:
    """Moving rate of the work that arrives, in seconds of work a second."""

    rate: float = 0.0
    at: float = 0.0

    def add(self, work_seconds: float, now: float) -> None:
        """Count a call."""
        self.rate = self.at_time(now) + work_seconds / ARRIVAL_DECAY_SECONDS
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the rate as of a time."""
        return self.rate * exp(-max(now - self.at, 0.0) / ARRIVAL_DECAY_SECONDS)
