"""Faults that excuse VMs: late requests, and times in which the store was down."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import monotonic
from typing import Final, NamedTuple

POLL_SECONDS: Final = 0.05
MIN_STALL_SECONDS: Final = 0.1
"""Least delay of the soak's own event loop that counts."""
STORE_RECOVERY_SECONDS: Final = 1.0
"""Time after a fault of the store in which VMs may not have read it again."""


def store_was_up_for(
    seconds: float, since: float, faults: Sequence[tuple[float, float]]
) -> float:
    """Return the time at which VMs have had the store for some seconds.

    Parameters
    ----------
    since
        Time from which the seconds are counted.
    faults
        Begin and end of each time in which the store was down.
    """
    at, counted = since + seconds, since
    for begin, end in sorted(faults):
        first, last = max(begin, counted), end + STORE_RECOVERY_SECONDS
        if first < at and last > first:
            at += last - first
            counted = last
    return at


class LateTime(NamedTuple):
    """Time in which requests may have arrived late.

    Attributes
    ----------
    since, until
        Monotonic times, in seconds.
    seconds
        Longest delay.
    target
        Name of the target concerned; empty for all.
    """

    since: float
    until: float
    seconds: float
    target: str = ""


@dataclass(slots=True)
class Lateness:
    """Delays by stalls of this process and by impaired links.

    Targets run in this process: what arrives while it stalls is read at once after it.
    """

    times: list[LateTime] = field(default_factory=list)

    def record(self, since: float, until: float, seconds: float, target: str) -> None:
        """Record a time in which requests to a target may have arrived late."""
        self.times.append(LateTime(since, until, seconds, target))

    def longest(self, target: str, since: float, until: float) -> float:
        """Return the longest delay of requests that arrived in a time, in seconds."""
        return max(
            (
                late.seconds
                for late in self.times
                if late.target in ("", target)
                and late.since <= until
                and late.until >= since
            ),
            default=0.0,
        )

    async def async_watch(self, seconds: float) -> None:
        """Record the stalls of this process for a time."""
        before = monotonic()
        end = before + seconds
        while before < end:
            await asyncio.sleep(POLL_SECONDS)
            now = monotonic()
            stall = now - before - POLL_SECONDS
            if stall >= MIN_STALL_SECONDS:
                self.record(before, now + POLL_SECONDS, stall, "")
            before = now
