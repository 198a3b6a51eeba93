"""Tests of the assignment of duties to entries."""

from __future__ import annotations

from gypsumsail.membership.const import LIST_READERS
from gypsumsail.membership.duties import assign_duties, is_list_reader
from tests.peers.common import entry_id

ZONE = [entry_id(f"e{index}") for index in range(10)]


def _readers(*, reading_number: int, age: float) -> set[str]:
    return {
        one.name
        for one in ZONE
        if is_list_reader(one, ZONE, reading_number=reading_number, age=age)
    }


def test_one_entry_reads_per_turn_and_all_become_readers_eventually() -> None:
    assert not _readers(reading_number=1, age=0.9)
    firsts = [
        _readers(reading_number=reading_number, age=1.0)
        for reading_number in range(200)
    ]
    assert all(len(first) == 1 for first in firsts)
    assert len(set.union(*firsts)) == len(ZONE)
    tried = [_readers(reading_number=1, age=float(age)) for age in range(1, 60)]
    assert max(len(readers) for readers in tried) == LIST_READERS
    assert set.union(*tried) == {one.name for one in ZONE}


def test_relays_are_few_and_evenly_loaded() -> None:
    zone = [entry_id(f"e{index}") for index in range(68)]
    duties = {me: assign_duties(me, alive=zone, present=zone) for me in zone}
    relays = {me for me in zone if duties[me].is_relay}
    assert len(relays) == 3
    chosen = [duties[me].local_relays[0] for me in zone if me not in relays]
    assert set(chosen) == relays
    assert max(chosen.count(relay) for relay in relays) < 40
