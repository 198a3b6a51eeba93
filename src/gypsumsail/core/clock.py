"""Monotonic and wall clocks."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time for code that does input and output.

    Decision logic takes the time as an argument instead of a clock.
    """

    def monotonic(self) -> float:
        """Return seconds of a clock that also advances while the VM is suspended."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch; the clock may be adjusted and jump."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
