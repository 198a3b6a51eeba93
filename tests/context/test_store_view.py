"""Tests of the view of a store."""

from __future__ import annotations

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.directory import Directory
from gypsumsail.context.generation import new_generation, parse_generation
from gypsumsail.context.store_view import StoreView
from gypsumsail.stores.port import StoreContents, StoredBlock, Tier

from .common import STORE, make_hashes
from .test_directory import found

DOSSIER = make_hashes(range(40))
KEY = directory_keys(DOSSIER)[0]


def listing(
    names: list[str], *, incarnation: str = "1", sequence: int = 9
) -> StoreContents:
    blocks = tuple(StoredBlock(name=name, tier=Tier.DISK, size=10) for name in names)
    return StoreContents(incarnation=incarnation, sequence=sequence, blocks=blocks)


def test_generations_are_read_back_and_never_equal() -> None:
    first, second = new_generation(3, KEY), new_generation(3, KEY)
    assert first != second
    assert parse_generation(str(first)) == first
    for text in ("", "a-b-c", "a-1", f"a-1-{KEY[:-1]}", f"a--1-{KEY}", f"a-²-{KEY}"):
        assert parse_generation(text) is None


def test_a_listing_rebuilds_a_lost_directory() -> None:
    first, second = new_generation(0, KEY), new_generation(25, KEY)
    names = [f"{block}.{first}" for block in DOSSIER[:25]]
    names += [f"{block}.{second}" for block in DOSSIER[25:]]
    view = StoreView(STORE)
    assert not view.apply(listing(names), now=1.0)
    assert not view.apply(listing(names), now=1.0)
    directory = Directory()
    for note in view.notes(now=3.0):
        directory.publish(note, now=3.0)
    assert found(directory, DOSSIER)[STORE].names(DOSSIER) == tuple(names)
    assert sum(export.size for export in view.exports.values()) == 400


def test_a_part_without_its_start_is_no_context() -> None:
    names = [f"{block}.{new_generation(25, KEY)}" for block in DOSSIER[25:26]]
    view = StoreView(STORE)
    view.apply(listing([*names, "notes.txt", f"{'0' * 32}.x"]), now=1.0)
    assert not list(view.notes(now=1.0))
    assert view.foreign == 2


def test_a_restarted_store_is_read_from_the_start() -> None:
    generation = new_generation(0, KEY)
    view = StoreView(STORE)
    view.apply(listing([f"{DOSSIER[0]}.{generation}"]), now=1.0)
    assert view.apply(listing([], incarnation="2", sequence=50), now=2.0)
    assert not view.exports
    assert view.sequence == 0
