"""Tests of the view of cached prompts for the engine selection."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from gypsumsail.peers.port import EntryId
from gypsumsail.relay.models import EngineSelection
from gypsumsail.routing.models import Expectation
from gypsumsail.targets.port import StoredBlocks
from gypsumsail.tiers.context_view import TierContextView
from tests.common import ManualClock
from tests.context.common import STORE, FakeNetwork
from tests.peers.common import async_until
from tests.relay.common import make_job, make_selection

from .common import Entry, FakeEngine, FakeSource, FakeStore, make_answer, make_blocks


@pytest.fixture
async def view() -> AsyncIterator[TierContextView]:
    networks: dict[EntryId, FakeNetwork] = {}
    store = FakeStore()
    source = FakeSource(FakeEngine(store), store)
    entry = Entry("a1", networks, source, ManualClock())
    await entry.async_setup()
    yield TierContextView(
        entry.context, entry.tiers, source, prefill_rate=lambda _: 5000.0
    )
    await entry.async_unload()


def make_importing_selection(names: tuple[str, ...], cached: int) -> EngineSelection:
    imported = (len(names) - cached) * 256
    expected = Expectation(
        first_token=0.1,
        completion=0.2,
        computed_tokens=0,
        imported_tokens=imported,
        link_bytes=imported * 256,
    )
    return replace(
        make_selection("e"),
        blocks=make_blocks(),
        kept=StoredBlocks(store_url=STORE, names=names),
        expected=expected,
    )


async def test_answered_prompt_is_found_in_the_engine_and_then_in_the_store(
    view: TierContextView,
) -> None:
    assert not (await view.async_lookup(make_blocks())).kept
    selection = replace(make_selection("e"), blocks=make_blocks())
    view.on_ended(make_job(), selection, make_answer().end)
    found = await view.async_lookup(make_blocks())
    assert found.cached_blocks == {"e": 40}
    directory = view.context.directory
    await async_until(lambda: next(directory.oldest_first()).stored != ())
    found = await view.async_lookup(make_blocks())
    assert len(found.kept[0].names) == 40
    held = await view.async_hold(make_importing_selection(found.kept[0].names, 4), 9.0)
    assert held == make_importing_selection(found.kept[0].names, 4)
    store = view.source.stores()[0].store
    await store.async_free(found.kept[0].names[4:])
    held = await view.async_hold(make_importing_selection(found.kept[0].names, 4), 9.0)
    assert held.kept is None


async def test_blocks_that_are_not_held_are_computed(view: TierContextView) -> None:
    names = tuple(f"{block}.g" for block in make_blocks().hashes)
    held = await view.async_hold(make_importing_selection(names, 4), 9.0)
    assert held.kept is None
    assert held.expected.computed_tokens == 36 * 256
    assert (held.expected.imported_tokens, held.expected.link_bytes) == (0, 0)
    assert await view.async_hold(make_selection("e"), 9.0) == make_selection("e")


async def test_prompt_counts_as_cached_from_the_first_token(
    view: TierContextView,
) -> None:
    assert (await view.async_lookup(make_blocks())).cached_blocks == {"e": 0}
    view.on_first_token(replace(make_selection("e"), blocks=make_blocks()))
    assert (await view.async_lookup(make_blocks())).cached_blocks == {"e": 40}
    view.on_first_token(make_selection("e"))
