"""Clocks of the process."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the present time for the adapters; decisions take it as argument."""

    def monotonic(self) -> float:
        """Return seconds that also pass while the VM is suspended."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch; may jump."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds of the boot-time clock."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
