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


def record_crash(
    table: SuspectTable, fingerprint: str, instance: TargetInstance, *, isolated: bool
) -> object:
    return table.record_crash(fingerprint, "try", instance, isolated=isolated, now=1.0)


def test_concurrent_copies_of_a_request_run_on_one_target() -> None:
    table = SuspectTable()
    assert table.begin("f", "1", "entry/1", 0.0) == Clear()
    assert table.begin("f", "2", "entry/2", 0.0) == Unplaced()
    table.place("f", "1", FIRST)
    assert table.begin("f", "2", "entry/2", 0.0) == RunOn(target="engine-1")


def test_completed_request_may_run_on_any_target() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    table.begin("f", "2", "entry/2", 0.0)
    table.end("f", "2", whole=True)
    assert table.begin("f", "3", "entry/3", 0.0) == Clear()


def test_isolated_second_crash_convicts_until_expiry() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    assert record_crash(table, "f", FIRST, isolated=False) == Isolate()
    begin_and_place(table, "f", SECOND)
    assert isinstance(table.begin("f", "other", "entry/2", 1.0), Busy)
    assert isinstance(record_crash(table, "f", SECOND, isolated=True), Convicted)
    assert isinstance(table.begin("f", "again", "entry/3", 2.0), Convicted)
    assert table.begin("f", "later", "entry/3", 1.0 + CONVICTION_SECONDS) == Clear()


def test_requests_of_one_batch_are_suspected_but_not_convicted() -> None:
    table = SuspectTable()
    for fingerprint in ("culprit", "innocent"):
        begin_and_place(table, fingerprint, FIRST)
        record_crash(table, fingerprint, FIRST, isolated=False)
        begin_and_place(table, fingerprint, SECOND)
    verdicts = [
        record_crash(table, fingerprint, SECOND, isolated=False)
        for fingerprint in ("culprit", "innocent")
    ]
    assert verdicts == [Isolate(), Isolate()]


def test_conviction_clears_other_requests_of_the_batch() -> None:
    table = SuspectTable()
    begin_and_place(table, "innocent", FIRST)
    record_crash(table, "innocent", FIRST, isolated=False)
    table.attribute_crash("culprit", FIRST)
    assert table.begin("innocent", "again", "entry/1", 2.0) == Clear()


def test_crash_reported_twice_counts_once() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    record_crash(table, "f", FIRST, isolated=True)
    assert record_crash(table, "f", FIRST, isolated=True) == Isolate()


def test_request_of_a_lost_entry_becomes_a_suspect() -> None:
    table = SuspectTable()
    begin_and_place(table, "f", FIRST)
    table.remove_lost_entry("entry/1", 1.0)
    assert table.begin("f", "again", "entry/2", 2.0) == Isolate()


def test_target_runs_one_suspect_at_a_time() -> None:
    slots = SlotTable()
    assert slots.take("engine-1", "1", 0.0)
    assert not slots.take("engine-1", "2", 1.0)
    slots.free("engine-1", "2")
    assert not slots.take("engine-1", "2", 1.0)
    assert slots.take("engine-1", "2", SLOT_LIFETIME_SECONDS)


def test_every_verdict_round_trips_through_its_message() -> None:
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
