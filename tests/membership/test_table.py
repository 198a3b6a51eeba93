"""Tests of the membership table."""

from __future__ import annotations

from gypsumsail.membership.const import (
    FREEZE_GAP_SECONDS,
    RETENTION_SECONDS,
    SUSPICION_SECONDS,
    SWEEP_INTERVAL_SECONDS,
)
from gypsumsail.membership.models import EntryJoined, EntryLost, MemberStatus
from gypsumsail.membership.table import MembershipTable
from tests.membership.common import identity, member


def _table() -> MembershipTable:
    table = MembershipTable(identity("me"), now=0.0)
    assert table.add_verified(identity("a"), now=0.0) == (
        EntryJoined(entry=identity("a").entry),
    )
    return table


def _sweep_until(table: MembershipTable, start: float, end: float) -> list[object]:
    changes: list[object] = []
    now = start
    while now < end:
        now += SWEEP_INTERVAL_SECONDS
        changes += table.sweep(now=now)
    return changes


def test_unrefuted_suspicion_ends_in_death_and_removal() -> None:
    table = _table()
    table.suspect(identity("a").entry, now=0.0)
    lost = _sweep_until(table, 0.0, SUSPICION_SECONDS)
    assert lost == [EntryLost(entry=identity("a").entry)]
    _sweep_until(table, SUSPICION_SECONDS, SUSPICION_SECONDS + RETENTION_SECONDS + 1)
    assert not table.members


def test_refutation_with_a_higher_counter_restores_the_member() -> None:
    table = _table()
    table.suspect(identity("a").entry, now=0.0)
    table.merge(member("a", counter=0), now=1.0)
    assert table.members[identity("a").entry].status is MemberStatus.SUSPECT
    table.merge(member("a", counter=1), now=1.0)
    assert not _sweep_until(table, 1.0, 20.0)


def test_reported_death_is_only_a_suspicion() -> None:
    table = _table()
    assert not table.merge(member("a", MemberStatus.DEAD), now=0.0)
    assert table.members[identity("a").entry].status is MemberStatus.SUSPECT
    assert not table.merge(member("unknown", MemberStatus.DEAD), now=0.0)


def test_suspicion_of_this_entry_is_refuted() -> None:
    table = _table()
    table.merge(member("me", MemberStatus.DEAD, counter=4), now=0.0)
    assert table.me.counter == 5
    assert table.me.status is MemberStatus.ALIVE


def test_new_incarnation_at_an_address_ends_the_old_one() -> None:
    table = _table()
    new = identity("b", url="ws://a")
    assert table.add_verified(new, now=1.0) == (
        EntryLost(entry=identity("a").entry),
        EntryJoined(entry=new.entry),
    )


def test_entry_declares_nobody_dead_directly_after_a_pause() -> None:
    table = _table()
    table.sweep(now=1.0)
    table.suspect(identity("a").entry, now=1.0)
    thawed = 1.0 + FREEZE_GAP_SECONDS + SUSPICION_SECONDS
    assert not table.sweep(now=thawed)
    assert not _sweep_until(table, thawed, thawed + SUSPICION_SECONDS - 1)
    assert _sweep_until(table, thawed + SUSPICION_SECONDS - 1, thawed + 6)


def test_digests_are_equal_exactly_when_the_tables_are() -> None:
    first, second = _table(), _table()
    assert first.digest().root == second.digest().root
    second.suspect(identity("a").entry, now=0.0)
    buckets = first.digest().differing(second.digest().bucket_digests)
    assert len(buckets) == 1
    first.merge_all(second.in_buckets(buckets), now=0.0)
    assert first.digest().root == second.digest().root
