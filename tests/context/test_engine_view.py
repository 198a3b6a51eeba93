"""Tests of the view of an engine cache."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.context.engine_view import EngineView
from gypsumsail.targets.port import CacheEvent

from .common import make_event, make_events, make_hashes

HASHES = make_hashes(range(6))


def synced_view(*hashes: str, sequence: int = 0) -> EngineView:
    view = EngineView()
    view.replace(make_events(make_event(sequence, "stored", *hashes)))
    return view


def test_cached_blocks_counts_only_an_unbroken_prefix() -> None:
    view = synced_view(*HASHES[:2], *HASHES[3:])
    assert view.cached_blocks(HASHES) == 2
    view.apply(make_events(make_event(1, "stored", HASHES[2])))
    assert view.cached_blocks(HASHES) == 6
    view.apply(make_events(make_event(2, "evicted", HASHES[0])))
    assert view.cached_blocks(HASHES) == 0


def test_replayed_events_are_ignored() -> None:
    view = synced_view()
    events = make_events(
        make_event(1, "stored", HASHES[0]), make_event(2, "evicted", HASHES[0])
    )
    view.apply(events)
    view.apply(events)
    assert view.synced
    assert view.cached_blocks(HASHES) == 0


def test_restart_without_a_cleared_event_is_detected() -> None:
    view = synced_view(*HASHES, sequence=7)
    view.apply(make_events(make_event(8, "stored", "ff" * 16), incarnation="2"))
    assert not view.synced
    assert view.cached_blocks(HASHES) == 0


def test_restarted_sequence_counts_as_a_gap() -> None:
    view = synced_view(*HASHES, sequence=7)
    view.apply(make_events(make_event(1, "stored", HASHES[0])))
    assert not view.synced


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(
        st.tuples(st.sampled_from(["stored", "evicted", "cleared"]), st.integers(0, 5)),
        max_size=12,
    ),
    st.sets(st.integers(1, 12)),
)
def test_synced_view_matches_the_engine_cache(
    changes: list[tuple[str, int]], lost: set[int]
) -> None:
    view = synced_view()
    held: set[int] = set()
    for sequence, (kind, block) in enumerate(changes, start=1):
        _apply_change(held, kind, block)
        event: CacheEvent = make_event(sequence, kind, HASHES[block])
        if sequence not in lost:
            view.apply(make_events(event))
        if view.synced and view.sequence == sequence:
            assert view.blocks == {int(HASHES[index][:16], 16) for index in held}
    if not view.synced:
        contents = make_event(len(changes), "stored", *[HASHES[i] for i in held])
        view.replace(make_events(contents))
        assert view.blocks == {int(HASHES[index][:16], 16) for index in held}


def _apply_change(held: set[int], kind: str, block: int) -> None:
    match kind:
        case "stored":
            held.add(block)
        case "evicted":
            held.discard(block)
        case _:
            held.clear()
