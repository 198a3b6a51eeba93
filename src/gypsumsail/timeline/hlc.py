"""Hybrid logical clock: orders events over VMs whose clocks differ."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.timeline.const import MAX_CLOCK_LEAD_MILLISECONDS


@dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """Place of an event in the order of all events.

    Attributes
    ----------
    wall_ms
        Milliseconds since the Unix epoch; never less than an earlier event's.
    counter
        Orders events of the same millisecond.
    """

    wall_ms: int
    counter: int = 0


ZERO_TIMESTAMP: Final = Timestamp(0, 0)


class HybridLogicalClock:
    """Clock of one process.

    Attributes
    ----------
    last
        The latest timestamp that was given or taken over.
    rejected
        Number of remote timestamps that were too far ahead to take over.
    """

    def __init__(self) -> None:
        self.last = ZERO_TIMESTAMP
        self.rejected = 0

    def tick(self, wall_ms: int) -> Timestamp:
        """Return a timestamp after all before it, for an event at ``wall_ms``."""
        if wall_ms > self.last.wall_ms:
            self.last = Timestamp(wall_ms)
        else:
            self.last = Timestamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, remote: Timestamp, wall_ms: int) -> bool:
        """Take over the timestamp of a message, so that later events follow it.

        Returns
        -------
        bool
            False when it is too far ahead of this process's clock: a peer whose
            clock jumped must not drag the others along.
        """
        if remote.wall_ms > wall_ms + MAX_CLOCK_LEAD_MILLISECONDS:
            self.rejected += 1
            return False
        self.last = max(self.last, remote)
        return True
