"""Tests of the number of VMs that watch the store."""

from __future__ import annotations

import pytest

from gypsumsail.catalog.const import MIN_WATCHERS
from gypsumsail.catalog.watchers import watchers_per_zone


@pytest.mark.parametrize(
    ("zones", "per_zone"), [(1, 3), (2, 2), (3, 2), (4, 1), (5, 1), (10, 1)]
)
def test_watches_of_a_large_fleet_depend_on_its_zones(
    zones: int, per_zone: int
) -> None:
    assert watchers_per_zone(zones, is_large=True) == per_zone
    assert per_zone * zones >= MIN_WATCHERS or per_zone == 3


def test_small_fleet_watches_in_each_zone_by_several_vms() -> None:
    assert watchers_per_zone(3, is_large=False) == 3
