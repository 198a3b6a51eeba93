"""Hybrid logical clock: orders events of VMs whose clocks differ."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.timeline.const import MAX_CLOCK_LEAD_MILLISECONDS


@dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """Position of an event in the total order of events.

    Attributes
    ----------
    wall_ms
        Milliseconds since the Unix epoch; never less than that of an earlier event,
        even if the wall clock of the process was set back.
    counter
        Orders events within the same millisecond.
    """

    wall_ms: int
    counter: int = 0


ZERO_TIMESTAMP: Final = Timestamp(0, 0)


class HybridLogicalClock:
    """Hybrid logical clock of one process.

    Attributes
    ----------
    last
        Latest timestamp that was issued locally or adopted from another process.
    rejected_count
        Number of remote timestamps that were rejected as too far ahead.
    """

    def __init__(self) -> None:
        self.last = ZERO_TIMESTAMP
        self.rejected_count = 0

    def tick(self, wall_ms: int) -> Timestamp:
        """Return a timestamp for ``wall_ms`` that follows all previous ones."""
        if wall_ms > self.last.wall_ms:
            self.last = Timestamp(wall_ms)
        else:
            self.last = Timestamp(self.last.wall_ms, self.last.counter + 1)
        return self.last

    def observe(self, remote: Timestamp, wall_ms: int) -> bool:
        """Adopt the timestamp of a message, so that later events are ordered after it.

        Returns
        -------
        bool
            False if the timestamp is too far ahead of this process's clock. Adopting
            it would spread the wrong time of a peer whose clock has jumped.
        """
        if remote.wall_ms > wall_ms + MAX_CLOCK_LEAD_MILLISECONDS:
            self.rejected_count += 1
            return False
        self.last = max(self.last, remote)
        return True
