"""Tests of an entry's use of the stores."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest

from gypsumsail.context.models import NOTHING_KEPT
from gypsumsail.peers.port import EntryId
from gypsumsail.targets.port import KeptBlocks
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
class Setup:
    """Two entries, an engine and a store."""

    first: Entry
    second: Entry
    engine: FakeEngine
    store: FakeStore
    clock: ManualClock

    async def async_export(self) -> KeptBlocks:
        """Answer a prompt at the first entry; return what the second finds."""
        await self.first.tiers.async_lookup(make_blocks())
        self.first.tiers.on_answer_ended(make_answer())
        await self.async_found()
        kept = await self.second.tiers.async_lookup(make_blocks())
        (prefix,) = self.second.tiers.prefixes(make_blocks(), kept)
        return KeptBlocks(store_url=prefix.store_url, names=prefix.names)

    async def async_found(self) -> None:
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
async def two() -> AsyncIterator[Setup]:
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
        board = entry.tiers.board
        await async_until(lambda board=board: bool(board.tiers(STORE, now=clock.now)))  # type: ignore[misc]
    yield Setup(first, second, engine, store, clock)
    for entry in (first, second):
        await entry.async_unload()


async def test_what_one_entry_exports_the_other_imports(two: Setup) -> None:
    kept = await two.async_export()
    assert len(kept.names) == 40
    assert await two.second.async_held(kept) == kept
    credit = two.second.limits.link_credit("claims")
    assert credit < 40 * 65536


async def test_blocks_freed_meanwhile_are_not_imported(two: Setup) -> None:
    kept = await two.async_export()
    for name in kept.names[10:]:
        del two.store.blocks[name]
    held = await two.second.async_held(kept)
    assert held is not None
    assert held.names == kept.names[:10]
    await async_until(lambda: not two.second.tiers._background)
    again = await two.first.tiers.async_lookup(make_blocks())
    assert again.stored[0].depth == 10


async def test_a_dead_store_is_left_alone_and_used_again(two: Setup) -> None:
    kept = await two.async_export()
    two.store.dead = True
    assert await two.second.async_held(kept) is None
    found = await two.second.tiers.async_lookup(make_blocks())
    assert not two.second.tiers.prefixes(make_blocks(), found)
    two.store.dead = False
    for entry in (two.first, two.second):
        await entry.tiers.keeper.async_round()
    two.clock.now += 2.0
    assert two.second.tiers.prefixes(make_blocks(), found)
    assert await two.second.async_held(kept) == kept


async def test_a_failed_block_ends_what_is_published(two: Setup) -> None:
    two.engine.fails_at = frozenset({12})
    kept = await two.async_export()
    assert len(kept.names) == 12
    await async_until(lambda: len(two.store.freed) == 19)
    assert not two.store.freed & set(kept.names)
    assert len(two.engine.orders) == 1


async def test_another_weight_version_publishes_nothing(two: Setup) -> None:
    two.first.tiers.on_answer_ended(make_answer(weight_version="v2"))
    assert not two.first.tiers.exporter.queue.jobs
    assert await two.first.context.async_lookup(HASHES) == NOTHING_KEPT


async def test_a_lost_directory_is_filled_from_the_listing(two: Setup) -> None:
    kept = await two.async_export()
    for entry in (two.first, two.second):
        await entry.tiers.keeper.async_round()
        for store in entry.tiers.keeper.stores.values():
            store.rounds = 0
        await entry.tiers.keeper.async_round()
        for record in list(entry.context.directory.oldest_first()):
            entry.context.directory.remove(record)
    found = await two.second.tiers.async_lookup(make_blocks())
    assert found.stored[0].names(HASHES) == kept.names
    two.clock.now += 10_000
    assert not (await two.second.tiers.async_lookup(make_blocks())).stored


async def test_a_restarted_store_is_forgotten(two: Setup) -> None:
    await two.async_export()
    two.store.blocks.clear()
    two.store.incarnation = "2"
    for entry in (two.first, two.second):
        await entry.tiers.keeper.async_round()
    found = await two.first.tiers.async_lookup(make_blocks())
    assert not found.stored


async def test_exports_wait_for_link_credit(two: Setup) -> None:
    limits = two.first.limits
    limits.consume_link("claims", 10_000.0)
    two.first.tiers.on_answer_ended(make_answer())
    for _ in range(5):
        two.first.tiers.exporter.start_next()
    assert not two.engine.orders
    assert two.first.tiers.exporter.queue.jobs
    two.clock.now += 30.0
    two.first.tiers.exporter.start_next()
    await async_until(lambda: bool(two.engine.orders))


async def test_an_import_that_gave_nothing_closes_the_store(two: Setup) -> None:
    kept = await two.async_export()
    held = await two.second.async_held(kept)
    before = two.second.limits.link_credit("claims")
    two.second.tiers.on_answer_ended(make_answer(kept=held))
    assert two.second.limits.link_credit("claims") > before
    found = await two.first.tiers.async_lookup(make_blocks())
    assert two.first.tiers.prefixes(make_blocks(), found)
    assert not two.second.tiers.prefixes(make_blocks(), found)
