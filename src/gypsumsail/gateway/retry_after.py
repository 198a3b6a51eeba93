"""Computes the delay after which a refused caller should retry.

An overload refuses many callers at the same moment. The delays have a random jitter, so
that the callers do not retry at once, and callers with less time left retry earlier.
"""

from __future__ import annotations

from gypsumsail.gateway.const import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    RETRY_AFTER_JITTER,
)


def retry_after(expected_wait: float, time_left: float | None, draw: float) -> float:
    """Return the seconds after which a refused caller should retry.

    Parameters
    ----------
    expected_wait
        Seconds until a target is expected to have capacity.
    time_left
        Seconds until the caller's deadline; ``None`` where it sent none.
    draw
        Uniform random number from 0 to 1.
    """
    most = MAX_RETRY_AFTER_SECONDS
    if time_left is not None:
        most = min(most, max(time_left / 3, MIN_RETRY_AFTER_SECONDS))
    base = min(max(expected_wait, MIN_RETRY_AFTER_SECONDS), most)
    spread = base * RETRY_AFTER_JITTER
    return max(min(base + spread * (draw - 0.5), most), MIN_RETRY_AFTER_SECONDS)
