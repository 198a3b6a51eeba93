"""Tests of the view of store contents and of generations."""

from __future__ import annotations

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.generation import new_generation, parse_generation
from gypsumsail.context.store_view import StoreView
from gypsumsail.stores.port import StoreContents, StoredBlock, Tier

from .common import STORE, make_hashes

PROMPT_HASHES = make_hashes(range(40))
KEY = directory_keys(PROMPT_HASHES)[0]


def make_listing(
    names: list[str], *, incarnation: str = "1", sequence: int = 9
) -> StoreContents:
    blocks = tuple(StoredBlock(name=name, tier=Tier.DISK, size=10) for name in names)
    return StoreContents(incarnation=incarnation, sequence=sequence, blocks=blocks)


def test_generations_are_unique_and_parse_back() -> None:
    first, second = new_generation(3, KEY), new_generation(3, KEY)
    assert first != second
    assert parse_generation(str(first)) == first
    for text in ("", "a-b-c", "a-1", f"a-1-{KEY[:-1]}", f"a--1-{KEY}", f"a-²-{KEY}"):
        assert parse_generation(text) is None


def test_listing_recovers_a_lost_directory_record() -> None:
    first, second = new_generation(0, KEY), new_generation(25, KEY)
    head = [f"{block}.{first}" for block in PROMPT_HASHES[:25]]
    rest = [f"{block}.{second}" for block in PROMPT_HASHES[25:]]
    view = StoreView(STORE)
    assert not view.apply(make_listing([*reversed(rest), *reversed(head)]), now=1.0)
    assert not view.apply(make_listing(head), now=1.0)
    stored = view.find(KEY, PROMPT_HASHES)
    assert stored is not None
    assert stored.names(PROMPT_HASHES) == (*head, *rest)
    assert sum(export.size for export in view.exports.values()) == 400
    view.remove(str(second))
    stored = view.find(KEY, (*PROMPT_HASHES[:20], *make_hashes("other")))
    assert stored is not None
    assert stored.depth == 20
    view.remove(str(first))
    assert view.find(KEY, PROMPT_HASHES) is None
    assert not view.by_key


def test_export_without_the_prompt_start_is_not_found() -> None:
    names = [f"{block}.{new_generation(25, KEY)}" for block in PROMPT_HASHES[25:26]]
    view = StoreView(STORE)
    view.apply(make_listing([*names, "notes.txt", f"{'0' * 32}.x"]), now=1.0)
    assert view.find(KEY, PROMPT_HASHES) is None
    assert view.foreign == 2


def test_find_stops_at_a_missing_block() -> None:
    generation = new_generation(0, KEY)
    names = [
        f"{block}.{generation}" for block in (*PROMPT_HASHES[:9], *PROMPT_HASHES[10:])
    ]
    view = StoreView(STORE)
    view.apply(make_listing(names), now=1.0)
    stored = view.find(KEY, PROMPT_HASHES)
    assert stored is not None
    assert stored.depth == 9


def test_restarted_store_is_listed_from_the_start() -> None:
    generation = new_generation(0, KEY)
    view = StoreView(STORE)
    view.apply(make_listing([f"{PROMPT_HASHES[0]}.{generation}"]), now=1.0)
    assert view.apply(make_listing([], incarnation="2", sequence=50), now=2.0)
    assert not view.exports
    assert view.sequence == 0
