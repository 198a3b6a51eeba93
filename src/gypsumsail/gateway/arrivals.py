"""Estimates of the load that is offered to the targets of a service."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from gypsumsail.gateway.const import ARRIVAL_DECAY_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerServiceLoad:
    """Load that the other VMs put on the targets of a service.

    Attributes
    ----------
    queued_work_seconds
        Seconds of work in the queues of the other VMs.
    offered_load
        Offered load of the calls that arrive at the other VMs, in erlangs: seconds of
        work that arrive per second.
    """

    queued_work_seconds: float = 0.0
    offered_load: float = 0.0


@dataclass(slots=True)
class ArrivalRate:
    """Exponentially decaying rate of arriving work, in seconds of work per second."""

    rate: float = 0.0
    at: float = 0.0

    def add(self, work_seconds: float, now: float) -> None:
        """Count the work of a call that arrives at time ``now``."""
        self.rate = self.at_time(now) + work_seconds / ARRIVAL_DECAY_SECONDS
        self.at = now

    def at_time(self, now: float) -> float:
        """Return the rate, decayed to time ``now``."""
        return self.rate * exp(-max(now - self.at, 0.0) / ARRIVAL_DECAY_SECONDS)
