"""Decides how many VMs of a zone watch the store on behalf of the others.

A call to the platform's store has a price, and its rates are shared by the fleet. The
number of watches must therefore depend on the zones, not on the VMs.
"""

from __future__ import annotations

from math import ceil

from gypsumsail.catalog.const import MAX_WATCHERS_PER_ZONE, MIN_WATCHERS


def watchers_per_zone(zones: int, *, is_large: bool) -> int:
    """Return how many VMs of each zone watch a kind.

    Parameters
    ----------
    zones
        Number of zones with live VMs.
    is_large
        Whether zones hear of each other by zone reports, which also tell of changes.
    """
    if not is_large:
        return MAX_WATCHERS_PER_ZONE
    return min(ceil(MIN_WATCHERS / max(zones, 1)), MAX_WATCHERS_PER_ZONE)
