"""Tests of the verdicts on requests that crash targets."""

from __future__ import annotations

from gypsumsail.suspects.const import CONVICTION_SECONDS, SLOT_LIFETIME_SECONDS
from gypsumsail.suspects.models import (
    Busy,
    Clear,
    Convicted,
    Isolate,
    RunOn,
    TargetInstance,
    Unplaced,
    decode_verdict,
    encode_verdict,
)
from gypsumsail.suspects.table import SlotTable, SuspectTable

FIRST = TargetInstance(target="engine-1", incarnation="a")
SECOND = TargetInstance(target="engine-2", incarnation="b")


def begin_and_place(
    table: SuspectTable, fingerprint: str, instance: TargetInstance
) -> None:
    table.begin(fingerprint, "try", "entry/1", 0.0)
    table.place(fingerprint, "try", instance)


def crash(
    table: SuspectTable, fingerprint: str, instance: TargetInstance, *, isolated: bool
) -> object:
    return table.crash(fingerprint, "try", instance, isolated=isolated, now=1.0)


def test_same_request_many_times_at_once_stays_on_one_target() -> None:
    table = SuspectTable()
    assert table.begin("f", "1", "entry/1", 0.0) == Clear()
    assert table.begin("f", "2", "entry/2", 0.0) == Unplaced()
    table.place("f", "1", FIRST)
    assert table.begin("f", "2", "entry/2", 0.0) == RunOn(target="engine-1")


def test_a_proved_request_is_not_kept_on_one_target() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    table.begin("f", "2", "entry/2", 0.0)
    table.end("f", "2", whole=True)
    assert table.begin("f", "3", "entry/3", 0.0) == Clear()


def test_two_crashes_alone_convict_and_time_ends_it() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    assert crash(table, "f", FIRST, isolated=False) == Isolate()
    begin_and_place(table, "f", SECOND)
    assert isinstance(table.begin("f", "other", "entry/2", 1.0), Busy)
    assert isinstance(crash(table, "f", SECOND, isolated=True), Convicted)
    assert isinstance(table.begin("f", "again", "entry/3", 2.0), Convicted)
    assert table.begin("f", "later", "entry/3", 1.0 + CONVICTION_SECONDS) == Clear()


def test_batch_neighbours_are_suspects_and_never_convicted_together() -> None:
    table = SuspectTable()
    for fingerprint in ("culprit", "innocent"):
        begin_and_place(table, fingerprint, FIRST)
        crash(table, fingerprint, FIRST, isolated=False)
        begin_and_place(table, fingerprint, SECOND)
    verdicts = [
        crash(table, fingerprint, SECOND, isolated=False)
        for fingerprint in ("culprit", "innocent")
    ]
    assert verdicts == [Isolate(), Isolate()]


def test_a_conviction_clears_the_neighbours() -> None:
    table = SuspectTable()
    begin_and_place(table, "innocent", FIRST)
    crash(table, "innocent", FIRST, isolated=False)
    table.attribute_crash("culprit", FIRST)
    assert table.begin("innocent", "again", "entry/1", 2.0) == Clear()


def test_one_target_reported_twice_is_one_crash() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    crash(table, "f", FIRST, isolated=True)
    assert crash(table, "f", FIRST, isolated=True) == Isolate()


def test_entry_and_target_that_die_together_leave_a_suspicion() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    table.entry_lost("entry/1", 1.0)
    assert table.begin("f", "again", "entry/2", 2.0) == Isolate()


def test_a_target_takes_one_suspect_at_a_time() -> None:
    slots = SlotTable()
    assert slots.take("engine-1", "1", 0.0)
    assert not slots.take("engine-1", "2", 1.0)
    slots.free("engine-1", "2")
    assert not slots.take("engine-1", "2", 1.0)
    assert slots.take("engine-1", "2", SLOT_LIFETIME_SECONDS)


def test_every_verdict_survives_its_message() -> None:
    verdicts = (
        Clear(),
        RunOn(target="engine-1"),
        Unplaced(),
        Isolate(),
        Busy(retry_after=5.0),
        Convicted(seconds_left=3.0),
    )
    for verdict in verdicts:
        assert decode_verdict(encode_verdict(verdict)) == verdict
