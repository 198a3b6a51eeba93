"""Decides when a newly started entry is ready to serve callers."""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from typing import Final

WARM_UP_SECONDS: Final = 5.0
"""Time after which an entry becomes ready even without all engine reports."""


def may_become_ready(
    *,
    documents: int,
    engines: AbstractSet[str],
    reported: AbstractSet[str],
    elapsed: float,
) -> bool:
    """Return whether the load balancer may send requests to this entry.

    The entry waits until every engine has reported, because it does not select an
    engine without a report and could only refuse requests. After `WARM_UP_SECONDS`
    it becomes ready anyway: if the platform is unavailable, the other entries cannot
    serve more requests than this one.

    Parameters
    ----------
    documents
        Number of documents in force.
    engines, reported
        Engines known to the membership, and engines that have reported.
    elapsed
        Seconds since the entry started.
    """
    if elapsed >= WARM_UP_SECONDS:
        return True
    return documents > 0 and engines <= reported
