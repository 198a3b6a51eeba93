"""Tests that the batches in which changes arrive make no difference."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from gypsumsail.catalog.peer_updates import decode_peer_update, encode_peer_update
from gypsumsail.object_api.port import Listing, PlatformObject
from tests.catalog.common import KINDS, Catalog, listing, stored, target_spec
from tests.fuzzing import fuzz_settings

KIND = KINDS.targets
NAMES = ("a", "b", "c")


@dataclass
class History:
    """Changes of the targets' entries in the store.

    Attributes
    ----------
    names_deletion
        Whether the event of a removal bears the revision of the removal, and not that
        of the last write before it.
    events
        Revision and object of each change.
    """

    names_deletion: bool
    revision: int = 1
    objects: dict[str, PlatformObject] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=dict)
    events: list[tuple[int, PlatformObject]] = field(default_factory=list)

    def change(self, step: str, name: str) -> None:
        """Write, restart, spoil or remove the entry of a target."""
        key = f"{KIND}/{name}"
        if step == "remove":
            gone = self.objects.pop(key, None)
            if gone is None:
                return
            self.revision += 1
            version = self.revision if self.names_deletion else gone.version
            found = PlatformObject(key=key, version=version, value=None)
        else:
            self.revision += 1
            found = stored(key, self.revision, self._spec(step, name))
            self.objects[key] = found
        self.events.append((self.revision, found))

    def _spec(self, step: str, name: str) -> dict[str, Any]:
        if step == "restart":
            self.lives[name] = self.lives.get(name, 1) + 1
        spec = target_spec(born=self.lives.get(name, 1), call_seq=self.revision)
        return {"service": 7} if step == "spoil" else spec

    def watch(self, since: int, until: int) -> Listing:
        """Return the answer of a watch at a revision."""
        found = [obj for at, obj in self.events if since < at <= until]
        return listing(until, *found)

    def whole(self) -> Listing:
        """Return a listing of all entries."""
        return listing(self.revision, *self.objects.values())


def known(catalog: Catalog) -> dict[str, int]:
    """Return the lives of the known targets, by name."""
    return {name: state.entry.life for name, state in catalog.targets.states.items()}


def pull(catalog: Catalog, other: Catalog) -> None:
    """Apply what another VM knows."""
    update = other.coordinator.peer_update_since(
        KIND, catalog.coordinator.revision(KIND), catalog.clock.now
    )
    if update is not None:
        received = decode_peer_update(encode_peer_update(update))
        catalog.coordinator.apply_peer_update(KIND, received, "v2")


def follow(catalog: Catalog, history: History, until: int) -> Listing:
    """Apply the answer of one watch; return it."""
    found = history.watch(catalog.coordinator.revision(KIND), until)
    catalog.apply(KIND, found)
    return found


def test_target_that_is_removed_and_created_in_one_answer_is_used() -> None:
    """VERSION (review/1): entries that lapsed in an outage were dropped for good."""
    catalog = Catalog()
    catalog.replace(KIND, listing(5, stored("servers/a", 5, target_spec())))
    removed = PlatformObject(key="servers/a", version=5, value=None)
    catalog.apply(KIND, listing(7, removed, stored("servers/a", 7, target_spec())))
    catalog.coordinator.tick(catalog.clock.now + 60.0)
    assert known(catalog) == {"a": 1}


def test_target_that_is_created_and_removed_in_one_answer_is_not_used() -> None:
    catalog = Catalog()
    catalog.replace(KIND, listing(5))
    removed = PlatformObject(key="servers/a", version=6, value=None)
    catalog.apply(KIND, listing(7, stored("servers/a", 6, target_spec()), removed))
    assert known(catalog) == {}


def test_late_answer_does_not_remove_a_target_that_was_created_again() -> None:
    catalog = Catalog()
    catalog.replace(KIND, listing(9, stored("servers/a", 9, target_spec(born=2))))
    removed = PlatformObject(key="servers/a", version=5, value=None)
    created = stored("servers/a", 9, target_spec(born=2))
    catalog.apply(KIND, listing(12, removed, created))
    assert not catalog.removed_targets
    assert known(catalog) == {"a": 2}


def test_listing_of_a_peer_does_not_remove_a_newer_object() -> None:
    """A listing in several pages may hold objects that are newer than its revision."""
    catalog = Catalog()
    catalog.replace(KIND, listing(9, stored("servers/a", 12, target_spec())))
    catalog.replace(KIND, listing(11))
    assert known(catalog) == {"a": 1}


def test_removal_confirmed_before_a_new_entry_ends_no_later_wait() -> None:
    catalog = Catalog()
    catalog.replace(KIND, listing(5, stored("servers/a", 5, target_spec())))
    catalog.coordinator.confirm_removal("a", 1)
    catalog.apply(KIND, listing(6, stored("servers/a", 6, target_spec(call_seq=1))))
    health = catalog.coordinator.store_health[KIND]
    health.record_failure()
    removed = PlatformObject(key="servers/a", version=6, value=None)
    catalog.apply(KIND, listing(7, removed))
    assert known(catalog) == {"a": 1}


STEPS = st.tuples(
    st.sampled_from(["write", "restart", "spoil", "remove", "remove"]),
    st.sampled_from(NAMES),
)
DELIVERIES = st.lists(
    st.sampled_from(["none", "watch", "part", "again", "list", "peer"]), max_size=40
)


@pytest.mark.parametrize("names_deletion", [True, False])
@fuzz_settings(200)
@given(steps=st.lists(STEPS, min_size=1, max_size=40), deliveries=DELIVERIES)
def test_any_batches_give_the_state_of_one_event_at_a_time(
    names_deletion: bool, steps: list[tuple[str, str]], deliveries: list[str]
) -> None:
    history = History(names_deletion=names_deletion)
    one_by_one, batched = Catalog(), Catalog()
    for catalog in (one_by_one, batched):
        catalog.replace(KIND, history.whole())
    answers: list[Listing] = []
    for number, (step, name) in enumerate(steps):
        history.change(step, name)
        follow(one_by_one, history, history.revision)
        match deliveries[number] if number < len(deliveries) else "none":
            case "watch":
                answers.append(follow(batched, history, history.revision))
            case "part":
                since = batched.coordinator.revision(KIND)
                until = (since + history.revision) // 2
                answers.append(follow(batched, history, until))
            case "again" if answers:
                batched.apply(KIND, answers[-1])
            case "list":
                batched.replace(KIND, history.whole())
            case "peer":
                pull(batched, one_by_one)
    follow(batched, history, history.revision)
    assert known(batched) == known(one_by_one)
    valid = {
        key.partition("/")[2]
        for key, obj in history.objects.items()
        if b'"engines"' in (obj.value or b"")
    }
    assert set(known(batched)) == valid
    third = Catalog()
    third.replace(KIND, listing(1))
    pull(third, batched)
    assert known(third) == known(batched)
