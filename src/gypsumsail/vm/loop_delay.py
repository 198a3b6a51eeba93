"""Observes how late the event loop runs the main loop of a VM."""

from __future__ import annotations

from gypsumsail.core.aligned_sleep import ALIGNMENT_SECONDS
from gypsumsail.core.callback import callback
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.vm.const import LATE_LOOP_SECONDS, TICK_SECONDS


class LoopDelay:
    """Delays of the main loop, which all other tasks of the process share.

    Attributes
    ----------
    ticked_at
        Time of the last tick; ``None`` before the first one.
    longest
        Longest delay in seconds since the last call of ``take_longest``.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.ticked_at: float | None = None
        self.longest = 0.0

    @callback
    def tick(self, now: float) -> None:
        """Record the delay of this tick; log one that other VMs notice."""
        if self.ticked_at is not None:
            expected = TICK_SECONDS + ALIGNMENT_SECONDS
            delay = max(now - self.ticked_at - expected, 0.0)
            self.longest = max(self.longest, delay)
            if delay >= LATE_LOOP_SECONDS:
                self.log.write(
                    "loop late", late_ms=round(delay * MILLISECONDS_PER_SECOND)
                )
        self.ticked_at = now

    @callback
    def take_longest(self) -> float:
        """Return the longest delay since the last call."""
        longest, self.longest = self.longest, 0.0
        return longest
