"""Tests of a store that returns from an older copy and gives out revisions again."""

from __future__ import annotations

from gypsumsail.catalog.const import RELISTING_GRACE_SECONDS, RESTORED_CONFIRM_SECONDS
from gypsumsail.object_api.eras import position
from gypsumsail.object_api.port import WatchExpiredError
from tests.catalog.common import Catalog, document_spec, listing, stored, target_spec

from .test_kind_watch import follow

NOW = 1_000.0
BEFORE = position(1, 50)
COPY = position(2, 40)


def restored(catalog: Catalog, kind: str, *objects: tuple[str, int, object]) -> None:
    """Apply the first listing after a restore, as the watch of the kind does."""
    catalog.clock.now = NOW
    health = catalog.coordinator.store_health[kind]
    health.record_failure()
    health.record_answer(NOW)
    found = [stored(key, position(2, rev), spec) for key, rev, spec in objects]
    catalog.replace(kind, listing(COPY, *found))


def test_restored_document_does_not_replace_a_newer_one() -> None:
    catalog = Catalog()
    catalog.replace(
        "config", listing(BEFORE, stored("config/main", BEFORE, document_spec(9)))
    )
    restored(catalog, "config", ("config/main", 30, document_spec(8)))
    assert [document.version for document in catalog.documents] == [9]
    again = position(2, 41)
    catalog.apply(
        "config", listing(again, stored("config/main", again, document_spec(9)))
    )
    assert [document.version for document in catalog.documents] == [9]
    later = position(2, 42)
    catalog.apply(
        "config", listing(later, stored("config/main", later, document_spec(12)))
    )
    assert [document.version for document in catalog.documents] == [9, 12]
    # Within the era, the latest write counts again.
    last = position(2, 43)
    catalog.apply(
        "config", listing(last, stored("config/main", last, document_spec(11)))
    )
    assert [document.version for document in catalog.documents] == [9, 12, 11]


def test_restored_weight_version_is_ignored() -> None:
    catalog = Catalog()
    spec = {"model": "m0", "version": 3}
    catalog.replace("versions", listing(BEFORE, stored("versions/m0", BEFORE, spec)))
    restored(catalog, "versions", ("versions/m0", 30, {"model": "m0", "version": 2}))
    assert catalog.wanted_weights["m0"].version == 3


def test_target_that_the_copy_lacks_is_kept_until_it_writes_again() -> None:
    catalog = Catalog()
    written_again, gone = (
        stored(f"servers/{name}", BEFORE, target_spec()) for name in ("a", "b")
    )
    catalog.replace("servers", listing(BEFORE, written_again, gone))
    restored(catalog, "servers")
    assert set(catalog.targets.states) == {"a", "b"}
    again = position(2, 41)
    catalog.apply("servers", listing(again, stored("servers/a", again, target_spec())))
    catalog.coordinator.tick(NOW + RELISTING_GRACE_SECONDS + 0.1)
    assert set(catalog.targets.states) == {"a"}


def test_target_keeps_leaving_although_the_copy_says_ready() -> None:
    catalog = Catalog()
    leaving = target_spec(state="draining")
    catalog.replace("servers", listing(BEFORE, stored("servers/a", BEFORE, leaving)))
    restored(catalog, "servers", ("servers/a", 30, target_spec()))
    assert catalog.targets.states["a"].is_leaving
    restarted = position(2, 41)
    record = stored("servers/a", restarted, target_spec(born=2))
    catalog.apply("servers", listing(restarted, record))
    assert not catalog.targets.states["a"].is_leaving


def catalog_with_removed_target() -> Catalog:
    catalog = Catalog()
    catalog.replace("servers", listing(40, stored("servers/a", 30, target_spec())))
    catalog.apply("servers", listing(BEFORE, stored("servers/a", 30)))
    assert not catalog.targets.states
    return catalog


def test_removed_target_in_the_copy_gets_no_calls() -> None:
    catalog = catalog_with_removed_target()
    restored(catalog, "servers", ("servers/a", 30, target_spec()))
    assert not catalog.targets.states
    expired = position(2, 41)
    catalog.apply("servers", listing(expired, stored("servers/a", position(2, 30))))
    catalog.coordinator.tick(NOW + RESTORED_CONFIRM_SECONDS + 0.1)
    assert not catalog.targets.states


def test_removed_target_in_the_copy_is_used_once_it_is_known_to_be_alive() -> None:
    catalog = catalog_with_removed_target()
    restored(catalog, "servers", ("servers/a", 30, target_spec()))
    catalog.coordinator.tick(NOW + RESTORED_CONFIRM_SECONDS + 0.1)
    assert set(catalog.targets.states) == {"a"}

    catalog = catalog_with_removed_target()
    restored(catalog, "servers", ("servers/a", 30, target_spec()))
    again = position(2, 41)
    catalog.apply("servers", listing(again, stored("servers/a", again, target_spec())))
    assert set(catalog.targets.states) == {"a"}


def test_peer_without_the_store_learns_of_the_restore_from_another_vm() -> None:
    sender, receiver = Catalog(), Catalog(lambda kind: False)
    first = listing(
        BEFORE,
        stored("servers/a", BEFORE, target_spec()),
        stored("servers/b", BEFORE, target_spec(state="draining")),
    )
    for catalog in (sender, receiver):
        catalog.clock.now = NOW
        catalog.replace("servers", first)
    restored(sender, "servers", ("servers/b", 30, target_spec()))
    update = sender.coordinator.peer_update_since("servers", BEFORE, NOW)
    assert update is not None
    receiver.coordinator.apply_peer_update("servers", update, "peer")
    assert receiver.coordinator.revision("servers") == COPY
    assert set(receiver.targets.states) == {"a", "b"}
    assert receiver.targets.states["b"].is_leaving


async def test_restore_counts_as_an_outage_for_the_watch() -> None:
    _, changes, availability_reports = await follow(
        listing(BEFORE, stored("k/a", BEFORE, 1)),
        WatchExpiredError("restored"),
        listing(COPY),
        listing(position(2, 41)),
    )
    assert changes[1].is_restored
    assert [(obj.key, obj.value) for obj in changes[1].objects] == [("k/a", None)]
    assert availability_reports == [False, True]


async def test_watch_that_expires_at_once_does_not_list_without_pause() -> None:
    api, _, _ = await follow(
        listing(5),
        WatchExpiredError("unknown"),
        listing(5),
        WatchExpiredError("unknown"),
    )
    assert api.calls == ["list", "watch 5", "list", "watch 5", "list"]
