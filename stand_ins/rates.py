"""Rates: an allowance of calls a second and a shared link."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """Calls allowed a second, saved up for at most one second."""

    per_second: float
    tokens: float
    refilled_at: float = 0.0

    def take(self, now: float, *, reserved_rate: int = 0) -> bool:
        """Take one call unless the rate is used up.

        Parameters
        ----------
        occupied
            Part of the rate that waiting watches use.
        """
        rate = max(0.0, self.per_second - reserved_rate)
        refilled = self.tokens + (now - self.refilled_at) * rate
        self.tokens = min(rate, refilled)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True, kw_only=True)
class Link:
    """Link that moves one transfer after the other.

    Attributes
    ----------
    bytes_per_second
        Speed; 0 means no limit.
    free_at
        Time at which the transfers so far are done.
    """

    bytes_per_second: float
    free_at: float = 0.0
    bytes_moved: int = 0

    def queued_bytes(self, now: float, factor: float) -> int:
        """Return the bytes that wait for the link."""
        return int(max(0.0, self.free_at - now) * self.bytes_per_second * factor)

    def reserve(self, size: int, now: float, factor: float) -> float:
        """Queue a transfer; return the seconds until it is done."""
        self.bytes_moved += size
        if not self.bytes_per_second:
            return 0.0
        seconds = size / (self.bytes_per_second * factor)
        self.free_at = max(self.free_at, now) + seconds
        return self.free_at - now

    async def transfer(self, size: int, factor: float = 1.0) -> None:
        """Wait until a transfer of ``size`` bytes is done."""
        now = asyncio.get_running_loop().time()
        seconds = self.reserve(size, now, factor)
        if seconds:
            await asyncio.sleep(seconds)
