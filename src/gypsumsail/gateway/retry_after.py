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


def retry_after(
    expected_wait: float, time_left: float | None, random_value: float
) -> float:
    """Return the seconds after which a refused caller should retry.

    Parameters
    ----------
    expected_wait
        Seconds until a target is expected to have capacity for the call.
    time_left
        Seconds until the caller's deadline; ``None`` where it sent none.
    random_value
        Uniform random number from 0 to 1.
    """
    max_delay = MAX_RETRY_AFTER_SECONDS
    if time_left is not None:
        max_delay = min(max_delay, max(time_left / 3, MIN_RETRY_AFTER_SECONDS))
    base = min(max(expected_wait, MIN_RETRY_AFTER_SECONDS), max_delay)
    spread = base * RETRY_AFTER_JITTER
    return max(
        min(base + spread * (random_value - 0.5), max_delay), MIN_RETRY_AFTER_SECONDS
    )
