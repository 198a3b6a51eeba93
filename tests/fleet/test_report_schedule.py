"""Tests of which entry reads which engine, and how often."""

from __future__ import annotations

import pytest

from gypsumsail.fleet.const import (
    CROSS_ZONE_REPORTS_PER_SECOND,
    MIN_ROUND_SECONDS,
    REPORT_OVERDUE_MARGIN_SECONDS,
    SAME_ZONE_REPORTS_PER_SECOND,
)
from gypsumsail.fleet.report_schedule import (
    assigned_reader,
    cross_zone_round_seconds,
    is_overdue,
    same_zone_round_seconds,
)
from gypsumsail.peers.port import EntryId
from tests.relay.common import make_vm

ENTRIES = [
    EntryId(name=f"entry-{number}", incarnation="1", zone=zone)
    for number, zone in enumerate(("brest-hall", "rennes-hall") * 3)
]


def test_one_entry_in_the_zone_of_the_engine_reads_it() -> None:
    vm = make_vm("engine-1")
    names = {
        assigned_reader(vm, me, [entry for entry in ENTRIES if entry != me])
        for me in ENTRIES
    }
    assert len(names) == 1
    zones = {entry.name: entry.zone for entry in ENTRIES}
    assert zones[names.pop()] == vm.zone


def test_engine_in_a_zone_without_entries_is_still_read() -> None:
    others = [entry for entry in ENTRIES if entry.zone != "brest-hall"]
    assert assigned_reader(make_vm("engine-1"), others[0], others[1:])


@pytest.mark.parametrize("engines", [1, 13, 152, 760])
def test_report_rates_stay_within_their_limits(engines: int) -> None:
    same_zone, cross_zone = (
        same_zone_round_seconds(engines),
        cross_zone_round_seconds(engines),
    )
    assert same_zone >= MIN_ROUND_SECONDS
    assert engines / same_zone <= SAME_ZONE_REPORTS_PER_SECOND + 1e-9
    assert engines / cross_zone <= CROSS_ZONE_REPORTS_PER_SECOND + 1e-9


def test_engine_with_an_overdue_report_is_read_by_every_entry() -> None:
    limit = REPORT_OVERDUE_MARGIN_SECONDS + 2 * 0.5
    assert not is_overdue(None, 10.0, 10.0 + limit, round_seconds=0.5)
    assert is_overdue(None, 10.0, 10.1 + limit, round_seconds=0.5)
    assert is_overdue(20.0, 10.0, 20.1 + limit, round_seconds=0.5)
