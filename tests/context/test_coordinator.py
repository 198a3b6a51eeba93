"""Tests of lookup and publishing over several entries."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass

import pytest

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.models import NOTHING_KEPT
from gypsumsail.context.owners import owner_in_zone
from gypsumsail.context.port import EngineLink, StoreLink
from gypsumsail.peers.port import EntryId
from tests.common import ManualClock
from tests.peers.common import async_until

from .common import (
    STORE,
    FakeNetwork,
    make_hashes,
    make_stored,
)

DOSSIER = make_hashes(range(40))


class NoTargets:
    """Source without engines and stores."""

    def engines(self) -> Sequence[EngineLink]:
        return ()

    def stores(self) -> Sequence[StoreLink]:
        return ()


@dataclass
class Entries:
    """Coordinators of two zones, by entry."""

    coordinators: dict[EntryId, ContextCoordinator]
    networks: dict[EntryId, FakeNetwork]

    def owner(self, zone: str, hashes: tuple[str, ...] = DOSSIER) -> EntryId:
        owner = owner_in_zone(directory_keys(hashes)[0], zone, self.coordinators)
        assert owner is not None
        return owner

    def other(self, zone: str) -> ContextCoordinator:
        return next(
            coordinator
            for entry, coordinator in self.coordinators.items()
            if entry.zone == zone and entry != self.owner(zone)
        )

    def knows(self, entry: EntryId) -> bool:
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
            entry, FakeNetwork(entry, networks), NoTargets(), ManualClock()
        )
        for entry in ids
    }
    for coordinator in coordinators.values():
        await coordinator.async_setup()
    yield Entries(coordinators=coordinators, networks=networks)
    for coordinator in coordinators.values():
        await coordinator.async_unload()


async def test_each_zone_learns_what_is_stored(entries: Entries) -> None:
    entries.other("a").on_stored(DOSSIER, make_stored((40, "g")))
    both = [entries.owner("a"), entries.owner("b")]
    await async_until(lambda: all(map(entries.knows, both)))
    for zone in ("a", "b"):
        kept = await entries.other(zone).async_lookup(DOSSIER)
        assert kept.stored[0].names(DOSSIER)[-1] == f"{DOSSIER[-1]}.g"


async def test_a_silent_owner_means_not_kept(entries: Entries) -> None:
    asker = entries.other("a")
    asker.on_stored(DOSSIER, make_stored((40, "g")))
    await async_until(lambda: entries.knows(entries.owner("a")))
    entries.networks[asker.me].mute.add(entries.owner("a"))
    assert await asker.async_lookup(DOSSIER) == NOTHING_KEPT
    assert asker.missed_lookups


async def test_records_move_to_the_new_owner(entries: Entries) -> None:
    owner = entries.owner("a")
    entries.other("a").on_computed(DOSSIER, "engine")
    await async_until(lambda: entries.knows(owner))
    newcomer = next(
        entry
        for number in range(1000)
        if (entry := EntryId(name=f"n{number}", incarnation="1", zone="a"))
        and owner_in_zone(
            directory_keys(DOSSIER)[0], "a", [*entries.coordinators, entry]
        )
        == entry
    )
    network = FakeNetwork(newcomer, entries.networks)
    joined = ContextCoordinator(newcomer, network, NoTargets(), ManualClock())
    await joined.async_setup()
    await async_until(lambda: bool(joined.directory.records))
    assert not entries.knows(owner)
    kept = await entries.coordinators[owner].async_lookup(DOSSIER)
    assert kept.engine is not None
    assert kept.engine.target == "engine"
    await joined.async_unload()


async def test_a_shared_start_is_no_return(entries: Entries) -> None:
    entries.other("a").on_stored(DOSSIER, make_stored((40, "g")))
    await async_until(lambda: entries.knows(entries.owner("a")))
    longer = make_hashes([*range(40), *["other"] * 60])
    kept = await entries.other("a").async_lookup(longer)
    assert kept.stored[0].depth == 40
    assert kept.seen_age is None
    assert (await entries.other("a").async_lookup(DOSSIER)).seen_age is not None


async def test_withdrawn_blocks_are_not_offered_again(entries: Entries) -> None:
    asker = entries.other("b")
    asker.on_stored(DOSSIER, make_stored((40, "g")))
    await async_until(lambda: entries.knows(entries.owner("a")))
    await asker.async_withdraw(DOSSIER, STORE, 16)
    kept = await entries.other("a").async_lookup(DOSSIER)
    assert kept.stored[0].depth == 16
    await asker.async_store_lost(STORE)
    kept = await entries.other("a").async_lookup(DOSSIER)
    assert not kept.stored
