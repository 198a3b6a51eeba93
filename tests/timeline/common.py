"""Builders of time line data."""

from __future__ import annotations

from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.records import ProcessId


class FakeClock:
    """Clock that a test sets."""

    def __init__(self, wall: float = 1_000.0) -> None:
        self.now = wall

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now


def process(name: str = "entry-1") -> ProcessId:
    """Return the only life of a process."""
    return ProcessId(name=name, incarnation=f"{name}-life")


def accepted(request_id: str = "r1", customer: str = "armor") -> Event:
    """Return the event of a request that was accepted."""
    return Event(
        kind=EventKind.REQUEST_ACCEPTED, request_id=request_id, customer=customer
    )
