"""Tells a refused caller when to come back.

Answers the load in which many callers are refused in the same moment: the times
are spread, so that they don't return together, and the most pressed return first.
"""

from __future__ import annotations

from gypsumsail.gateway.const import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    RETRY_AFTER_JITTER,
)


def retry_after(expected_wait: float, time_left: float | None, draw: float) -> float:
    """Return the seconds after which a caller may come back.

    Parameters
    ----------
    expected_wait
        Seconds until a target is expected to have room.
    time_left
        Seconds that the caller has left; ``None`` when it did not say.
    draw
        Evenly drawn from 0 to 1.
    """
    most = MAX_RETRY_AFTER_SECONDS
    if time_left is not None:
        most = min(most, max(time_left / 3, MIN_RETRY_AFTER_SECONDS))
    base = min(max(expected_wait, MIN_RETRY_AFTER_SECONDS), most)
    spread = base * RETRY_AFTER_JITTER
    return max(min(base + spread * (draw - 0.5), most), MIN_RETRY_AFTER_SECONDS)
