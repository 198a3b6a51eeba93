"""Tests of who reads which engine."""

from __future__ import annotations

import pytest

from gypsumsail.fleet.const import (
    FAR_REPORTS_PER_SECOND,
    MISSING_REPORT_SECONDS,
    NEAR_REPORTS_PER_SECOND,
    SHORTEST_ROUND_SECONDS,
)
from gypsumsail.fleet.watch_plan import (
    far_round_seconds,
    is_overdue,
    near_round_seconds,
    watcher,
)
from gypsumsail.peers.port import EntryId
from tests.relay.common import make_vm

ENTRIES = [
    EntryId(name=f"entry-{number}", incarnation="1", zone=zone)
    for number, zone in enumerate(("brest-hall", "rennes-hall") * 3)
]


def test_one_entry_of_the_engines_zone_reads_it() -> None:
    vm = make_vm("engine-1")
    names = {
        watcher(vm, me, [entry for entry in ENTRIES if entry != me]) for me in ENTRIES
    }
    assert len(names) == 1
    zones = {entry.name: entry.zone for entry in ENTRIES}
    assert zones[names.pop()] == vm.zone


def test_an_engine_in_a_zone_without_entries_is_read_all_the_same() -> None:
    others = [entry for entry in ENTRIES if entry.zone != "brest-hall"]
    assert watcher(make_vm("engine-1"), others[0], others[1:])


@pytest.mark.parametrize("engines", [1, 13, 152, 760])
def test_reports_stay_within_their_rate(engines: int) -> None:
    near, far = near_round_seconds(engines), far_round_seconds(engines)
    assert near >= SHORTEST_ROUND_SECONDS
    assert engines / near <= NEAR_REPORTS_PER_SECOND + 1e-9
    assert engines / far <= FAR_REPORTS_PER_SECOND + 1e-9


def test_an_engine_whose_watcher_is_silent_is_read_by_all() -> None:
    limit = MISSING_REPORT_SECONDS + 2 * 0.5
    assert not is_overdue(None, 10.0, 10.0 + limit, round_seconds=0.5)
    assert is_overdue(None, 10.0, 10.1 + limit, round_seconds=0.5)
    assert is_overdue(20.0, 10.0, 20.1 + limit, round_seconds=0.5)
