"""Decides when an entry that started is as good as the others."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Final

WARM_UP_SECONDS: Final = 5.0


def may_become_ready(
    *,
    documents: int,
    engines: AbstractSet[str],
    reported: AbstractSet[str],
    elapsed: float,
) -> bool:
    """Return whether the balancer may send callers.

    Without engine reports an entry can only refuse. It never waits longer than
    `WARM_UP_SECONDS`, since without a platform another entry is no better.

    Parameters
    ----------
    engines, reported
        Engines that membership knows, and those with a report.
    elapsed
        Seconds since the start.
    """
    if elapsed >= WARM_UP_SECONDS:
        return True
    return documents > 0 and engines <= reported
