"""Tests of lookups and updates among several entries."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import pytest

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.models import EMPTY_LOOKUP_RESULT
from gypsumsail.context.owners import owner_in_zone
from gypsumsail.context.port import EngineHandle, StoreHandle
from gypsumsail.peers.port import EntryId
from tests.common import ManualClock
from tests.peers.common import async_until

from .common import (
    STORE,
    FakeNetwork,
    make_hashes,
    make_stored,
)

PROMPT_HASHES = make_hashes(range(40))


class EmptyTargetSource:
    """Target source without engines and stores."""

    def engines(self) -> Sequence[EngineHandle]:
        return ()

    def stores(self) -> Sequence[StoreHandle]:
        return ()


@dataclass
class Entries:
    """Coordinators and networks of the entries of two zones."""

    coordinators: dict[EntryId, ContextCoordinator]
    networks: dict[EntryId, FakeNetwork]

    def owner(self, zone: str, hashes: tuple[str, ...] = PROMPT_HASHES) -> EntryId:
        owner = owner_in_zone(directory_keys(hashes)[0], zone, self.coordinators)
        assert owner is not None
        return owner

    def non_owner(self, zone: str) -> ContextCoordinator:
        return next(
            coordinator
            for entry, coordinator in self.coordinators.items()
            if entry.zone == zone and entry != self.owner(zone)
        )

    def has_records(self, entry: EntryId) -> bool:
        return bool(self.coordinators[entry].directory.records)


@pytest.fixture
async def entries() -> AsyncIterator[Entries]:
    networks: dict[EntryId, FakeNetwork] = {}
    ids = [
        EntryId(name=f"{zone}{number}", incarnation="1", zone=zone)
        for zone in ("a", "b")
        for number in range(3)
    ]
    coordinators = {
        entry: ContextCoordinator(
            entry, FakeNetwork(entry, networks), EmptyTargetSource(), ManualClock()
        )
        for entry in ids
    }
    for coordinator in coordinators.values():
        await coordinator.async_setup()
    yield Entries(coordinators=coordinators, networks=networks)
    for coordinator in coordinators.values():
        await coordinator.async_unload()


async def test_stored_blocks_are_published_to_every_zone(entries: Entries) -> None:
    entries.non_owner("a").on_stored(PROMPT_HASHES, make_stored((40, "g")))
    both = [entries.owner("a"), entries.owner("b")]
    await async_until(lambda: all(map(entries.has_records, both)))
    for zone in ("a", "b"):
        lookup = await entries.non_owner(zone).async_lookup(PROMPT_HASHES)
        assert lookup.stored[0].names(PROMPT_HASHES)[-1] == f"{PROMPT_HASHES[-1]}.g"


async def test_lookup_is_empty_when_the_owner_does_not_answer(entries: Entries) -> None:
    sender = entries.non_owner("a")
    sender.on_stored(PROMPT_HASHES, make_stored((40, "g")))
    await async_until(lambda: entries.has_records(entries.owner("a")))
    entries.networks[sender.me].unresponsive.add(entries.owner("a"))
    assert await sender.async_lookup(PROMPT_HASHES) == EMPTY_LOOKUP_RESULT
    assert sender.failed_lookups


async def test_records_are_handed_over_to_a_new_owner(entries: Entries) -> None:
    owner = entries.owner("a")
    entries.non_owner("a").on_computed(PROMPT_HASHES, "engine")
    await async_until(lambda: entries.has_records(owner))
    newcomer = next(
        entry
        for number in range(1000)
        if (entry := EntryId(name=f"n{number}", incarnation="1", zone="a"))
        and owner_in_zone(
            directory_keys(PROMPT_HASHES)[0], "a", [*entries.coordinators, entry]
        )
        == entry
    )
    network = FakeNetwork(newcomer, entries.networks)
    joined = ContextCoordinator(newcomer, network, EmptyTargetSource(), ManualClock())
    await joined.async_setup()
    await async_until(lambda: bool(joined.directory.records))
    assert not entries.has_records(owner)
    lookup = await entries.coordinators[owner].async_lookup(PROMPT_HASHES)
    assert lookup.engine is not None
    assert lookup.engine.target == "engine"
    await joined.async_unload()


async def test_short_common_prefix_does_not_count_as_reuse(entries: Entries) -> None:
    entries.non_owner("a").on_stored(PROMPT_HASHES, make_stored((40, "g")))
    await async_until(lambda: entries.has_records(entries.owner("a")))
    longer = make_hashes([*range(40), *["other"] * 60])
    lookup = await entries.non_owner("a").async_lookup(longer)
    assert lookup.stored[0].depth == 40
    assert lookup.request_age is None
    assert (
        await entries.non_owner("a").async_lookup(PROMPT_HASHES)
    ).request_age is not None


async def test_withdrawn_blocks_are_not_returned_by_lookups(entries: Entries) -> None:
    sender = entries.non_owner("b")
    sender.on_stored(PROMPT_HASHES, make_stored((40, "g")))
    await async_until(lambda: entries.has_records(entries.owner("a")))
    await sender.async_withdraw(PROMPT_HASHES, STORE, 16)
    lookup = await entries.non_owner("a").async_lookup(PROMPT_HASHES)
    assert lookup.stored[0].depth == 16
    await sender.async_store_lost(STORE)
    lookup = await entries.non_owner("a").async_lookup(PROMPT_HASHES)
    assert not lookup.stored
