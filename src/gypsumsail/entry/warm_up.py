"""Decides when an entry that started is as good as the others."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Final

WARM_UP_SECONDS: Final = 5.0


def may_turn_ready(
    *, documents: int, engines: AbstractSet[str], seen: AbstractSet[str], waited: float
) -> bool:
    """Return whether the balancer may send callers.

    Without engine reports an entry can only refuse. It never waits longer than
    `WARM_UP_SECONDS`, since without a platform another entry is no better.

    Parameters
    ----------
    engines, seen
        Engines that membership knows, and those with a report.
    waited
        Seconds since the start.
    """
    if waited >= WARM_UP_SECONDS:
        return True
    return documents > 0 and engines <= seen
