"""Tests of exports, holds and imports by two entries with one store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest

from gypsumsail.context.models import EMPTY_LOOKUP_RESULT
from gypsumsail.peers.port import EntryId
from gypsumsail.targets.port import StoredBlocks
from gypsumsail.timeline.models import EventKind
from tests.common import ManualClock
from tests.context.common import STORE, FakeNetwork
from tests.peers.common import async_until

from .common import (
    HASHES,
    Entry,
    FakeEngine,
    FakeSource,
    FakeStore,
    make_answer,
    make_blocks,
)


@dataclass
class TwoEntries:
    """Two entries that share an engine and a store."""

    first: Entry
    second: Entry
    engine: FakeEngine
    store: FakeStore
    clock: ManualClock

    async def async_export(self) -> StoredBlocks:
        """Export a prompt by the first entry; return the blocks found by the second."""
        await self.first.tiers.async_lookup(make_blocks())
        self.first.tiers.on_answer_ended(make_answer())
        await self.async_wait_for_export()
        lookup = await self.second.tiers.async_lookup(make_blocks())
        (prefix,) = self.second.tiers.importable_prefixes(make_blocks(), lookup)
        return StoredBlocks(store_url=prefix.store_url, names=prefix.names)

    async def async_wait_for_export(self) -> None:
        """Wait until an export is recorded and published to a directory."""
        await async_until(lambda: bool(self.recorded(EventKind.CONTEXT_EXPORTED)))
        both = (self.first, self.second)
        await async_until(
            lambda: any(
                record.stored
                for entry in both
                for record in entry.context.directory.records.values()
            )
        )

    def recorded(self, kind: EventKind) -> list[str]:
        events = self.first.events.events
        return [event.detail for event in events if event.kind is kind]


@pytest.fixture
async def two_entries() -> AsyncIterator[TwoEntries]:
    networks: dict[EntryId, FakeNetwork] = {}
    clock = ManualClock()
    store = FakeStore()
    engine = FakeEngine(store)
    source = FakeSource(engine, store)
    first = Entry("a1", networks, source, clock)
    second = Entry("a2", networks, source, clock)
    for entry in (first, second):
        await entry.async_setup()
    for entry in (first, second):
        states = entry.tiers.store_states
        await async_until(
            lambda states=states: bool(states.tiers(STORE, now=clock.now))  # type: ignore[misc]
        )
    yield TwoEntries(first, second, engine, store, clock)
    for entry in (first, second):
        await entry.async_unload()


async def test_blocks_exported_by_one_entry_are_imported_by_another(
    two_entries: TwoEntries,
) -> None:
    kept = await two_entries.async_export()
    assert len(kept.names) == 40
    assert await two_entries.second.async_hold(kept) == kept
    credit = two_entries.second.limits.link_credit("claims")
    assert credit < 40 * 65536


async def test_blocks_freed_before_the_hold_are_not_imported(
    two_entries: TwoEntries,
) -> None:
    kept = await two_entries.async_export()
    for name in kept.names[10:]:
        del two_entries.store.blocks[name]
    held = await two_entries.second.async_hold(kept)
    assert held is not None
    assert held.names == kept.names[:10]
    await async_until(lambda: not two_entries.second.tiers._background)
    again = await two_entries.first.tiers.async_lookup(make_blocks())
    assert again.stored[0].depth == 10


async def test_failed_store_is_skipped_and_used_again_after_recovery(
    two_entries: TwoEntries,
) -> None:
    kept = await two_entries.async_export()
    two_entries.store.dead = True
    assert await two_entries.second.async_hold(kept) is None
    found = await two_entries.second.tiers.async_lookup(make_blocks())
    assert not two_entries.second.tiers.importable_prefixes(make_blocks(), found)
    two_entries.store.dead = False
    for entry in (two_entries.first, two_entries.second):
        await entry.tiers.store_manager.async_poll()
    two_entries.clock.now += 2.0
    assert two_entries.second.tiers.importable_prefixes(make_blocks(), found)
    assert await two_entries.second.async_hold(kept) == kept


async def test_only_blocks_before_a_failed_block_are_published(
    two_entries: TwoEntries,
) -> None:
    two_entries.engine.fails_at = frozenset({12})
    kept = await two_entries.async_export()
    assert len(kept.names) == 12
    await async_until(lambda: len(two_entries.store.freed) == 19)
    assert not two_entries.store.freed & set(kept.names)
    assert len(two_entries.engine.orders) == 1


async def test_answer_of_another_weight_version_publishes_nothing(
    two_entries: TwoEntries,
) -> None:
    two_entries.first.tiers.on_answer_ended(make_answer(weight_version="v2"))
    assert not two_entries.first.tiers.exporter.queue.jobs
    assert await two_entries.first.context.async_lookup(HASHES) == EMPTY_LOOKUP_RESULT


async def test_lost_directory_is_recovered_from_the_store_listing(
    two_entries: TwoEntries,
) -> None:
    kept = await two_entries.async_export()
    for entry in (two_entries.first, two_entries.second):
        await entry.tiers.store_manager.async_poll()
        # The next poll reads the listing, not only the load.
        for store in entry.tiers.store_manager.stores.values():
            store.polls = 0
        await entry.tiers.store_manager.async_poll()
        for record in list(entry.context.directory.oldest_first()):
            entry.context.directory.remove(record)
    found = await two_entries.second.tiers.async_lookup(make_blocks())
    assert found.stored[0].names(HASHES) == kept.names
    two_entries.clock.now += 10_000
    assert not (await two_entries.second.tiers.async_lookup(make_blocks())).stored


async def test_contents_of_a_restarted_store_are_dropped(
    two_entries: TwoEntries,
) -> None:
    await two_entries.async_export()
    two_entries.store.blocks.clear()
    two_entries.store.incarnation = "2"
    for entry in (two_entries.first, two_entries.second):
        await entry.tiers.store_manager.async_poll()
    found = await two_entries.first.tiers.async_lookup(make_blocks())
    assert not found.stored


async def test_exports_wait_for_link_credit(two_entries: TwoEntries) -> None:
    limits = two_entries.first.limits
    limits.consume_link("claims", 10_000.0)
    two_entries.first.tiers.on_answer_ended(make_answer())
    for _ in range(5):
        two_entries.first.tiers.exporter.start_next()
    assert not two_entries.engine.orders
    assert two_entries.first.tiers.exporter.queue.jobs
    two_entries.clock.now += 30.0
    two_entries.first.tiers.exporter.start_next()
    await async_until(lambda: bool(two_entries.engine.orders))


async def test_failed_import_refunds_credit_and_pauses_the_store_for_this_entry(
    two_entries: TwoEntries,
) -> None:
    kept = await two_entries.async_export()
    held = await two_entries.second.async_hold(kept)
    before = two_entries.second.limits.link_credit("claims")
    two_entries.second.tiers.on_answer_ended(make_answer(kept=held))
    assert two_entries.second.limits.link_credit("claims") > before
    found = await two_entries.first.tiers.async_lookup(make_blocks())
    assert two_entries.first.tiers.importable_prefixes(make_blocks(), found)
    assert not two_entries.second.tiers.importable_prefixes(make_blocks(), found)
