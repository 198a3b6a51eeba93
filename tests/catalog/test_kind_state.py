"""Tests of the local copy of a kind."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gypsumsail.catalog.kind_state import KindState
from gypsumsail.object_api.port import Listing, PlatformObject
from tests.catalog.common import listing, stored


def test_older_listing_is_ignored() -> None:
    state = KindState()
    state.replace(listing(10, stored("k/a", 9, 1)))
    changes = state.replace(listing(8, stored("k/a", 5, 2)))
    assert not changes.objects
    assert state.objects["k/a"].version == 9


def test_listing_removes_absent_objects() -> None:
    state = KindState()
    state.replace(listing(10, stored("k/a", 9, 1), stored("k/b", 8, 1)))
    changes = state.replace(listing(12, stored("k/a", 9, 1)))
    assert [(obj.key, obj.value) for obj in changes.objects] == [("k/b", None)]
    assert state.last_changed_revision == 12


def test_late_event_never_restores_an_older_version() -> None:
    state = KindState()
    state.replace(listing(10, stored("k/a", 9, "new")))
    assert not state.apply(listing(11, stored("k/a", 7, "old"))).objects


def test_object_created_again_after_its_removal() -> None:
    state = KindState()
    state.replace(listing(10, stored("k/a", 9, 1)))
    state.apply(listing(12, stored("k/a", 9)))
    assert not state.objects
    state.apply(listing(14, stored("k/a", 13, 2)))
    update = state.update_since(10)
    assert [item.version for item in update.listing.objects] == [13]


def test_update_since_contains_only_newer_changes() -> None:
    state = KindState()
    state.replace(listing(10, stored("k/a", 9, 1), stored("k/b", 8, 1)))
    state.apply(listing(12, stored("k/a", 9)))
    state.apply(listing(13, stored("k/c", 13, 1)))
    update = state.update_since(10)
    assert not update.is_complete
    found = {item.key: item.value is None for item in update.listing.objects}
    assert found == {"k/a": True, "k/c": False}
    assert state.update_since(5).is_complete


CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=30
)


@given(CHANGES, st.integers(0, 30))
def test_watcher_and_peer_copies_match_the_store(
    changes: list[tuple[str, bool]], asked_after: int
) -> None:
    store: dict[str, PlatformObject] = {}
    watcher, reader = KindState(), KindState()
    watcher.replace(listing(1, stored("k/a", 1, 0)))
    store["k/a"] = stored("k/a", 1, 0)
    for number, (name, is_written) in enumerate(changes, start=2):
        key = f"k/{name}"
        if is_written:
            store[key] = stored(key, number, number)
            watcher.apply(Listing(objects=(store[key],), revision=number))
        elif key in store:
            gone = store.pop(key)
            removed = PlatformObject(key=key, version=gone.version, value=None)
            watcher.apply(Listing(objects=(removed,), revision=number))
        if number % 7 == asked_after % 7:
            update = watcher.update_since(reader.revision)
            take = reader.replace if update.is_complete else reader.apply
            take(update.listing)
            assert reader.objects == watcher.objects
    assert watcher.objects == store
