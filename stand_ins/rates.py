"""Rate limit of calls, and a link with a limited bandwidth."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """Token bucket that holds at most the calls of one second.

    Attributes
    ----------
    per_second
        Allowed calls per second.
    tokens
        Calls that are allowed now.
    refilled_at
        Time of the last refill in seconds.
    """

    per_second: float
    tokens: float
    refilled_at: float = 0.0

    def take(self, now: float, *, reserved_rate: int = 0) -> bool:
        """Take one token; return whether there was one.

        Parameters
        ----------
        reserved_rate
            Calls per second to subtract from the rate.
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
    """Link that carries its transfers one after the other.

    The parameter ``factor`` of the methods scales the bandwidth.

    Attributes
    ----------
    bytes_per_second
        Bandwidth; 0 means unlimited.
    free_at
        Time in seconds at which all queued transfers are complete.
    bytes_moved
        Total size of all transfers.
    """

    bytes_per_second: float
    free_at: float = 0.0
    bytes_moved: int = 0

    def queued_bytes(self, now: float, factor: float) -> int:
        """Return the number of bytes that are queued for the link."""
        return int(max(0.0, self.free_at - now) * self.bytes_per_second * factor)

    def reserve(self, size: int, now: float, factor: float) -> float:
        """Queue a transfer; return the seconds until it is complete."""
        self.bytes_moved += size
        if not self.bytes_per_second:
            return 0.0
        seconds = size / (self.bytes_per_second * factor)
        self.free_at = max(self.free_at, now) + seconds
        return self.free_at - now

    async def transfer(self, size: int, factor: float = 1.0) -> None:
        """Queue a transfer of ``size`` bytes and wait until it is complete."""
        now = asyncio.get_running_loop().time()
        seconds = self.reserve(size, now, factor)
        if seconds:
            await asyncio.sleep(seconds)
