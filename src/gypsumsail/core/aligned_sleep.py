"""Sleep that lets the periodic tasks of a process wake up together.

Each wake-up of the event loop costs processor time, whatever the number of tasks that
it serves. A VM has tens of periodic tasks, so their timers end at common times.
"""

from __future__ import annotations

import asyncio
from math import ceil
from typing import Final

ALIGNMENT_SECONDS: Final = 0.05
"""Distance between the common points in time."""


def aligned_delay(now: float, seconds: float) -> float:
    """Return the delay to the first common point that is ``seconds`` or more away.

    Parameters
    ----------
    now
        Time of the event loop.
    """
    # Rounding keeps a point that is reached exactly from being passed over.
    points = ceil(round((now + seconds) / ALIGNMENT_SECONDS, 3))
    return max(points * ALIGNMENT_SECONDS - now, 0.0)


async def async_sleep_aligned(seconds: float) -> None:
    """Sleep for ``seconds`` or up to ``ALIGNMENT_SECONDS`` longer."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(aligned_delay(now, seconds))
