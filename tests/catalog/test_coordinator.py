"""Tests of how the catalog applies the platform's objects."""

from __future__ import annotations

import pytest

from gypsumsail.catalog.peer_updates import decode_peer_update, encode_peer_update
from gypsumsail.gateway.models import TargetEntry
from tests.catalog.common import (
    KINDS,
    Catalog,
    document_spec,
    listing,
    stored,
    target_spec,
)


def test_older_document_never_replaces_the_active_one() -> None:
    catalog = Catalog()
    catalog.replace("config", listing(5, stored("config/main", 5, document_spec(7))))
    catalog.apply("config", listing(6, stored("config/main", 6, document_spec(8))))
    catalog.apply("config", listing(7, stored("config/main", 5, document_spec(7))))
    assert [document.version for document in catalog.documents] == [7, 8]


def test_invalid_document_keeps_the_active_one() -> None:
    catalog = Catalog()
    catalog.replace("config", listing(5, stored("config/main", 5, document_spec(7))))
    catalog.apply("config", listing(6, stored("config/main", 6, {"version": "x"})))
    assert catalog.coordinator.document is not None
    assert catalog.coordinator.document.version == 7


@pytest.mark.parametrize(
    "spec",
    [
        {},
        {"service": "engines"},
        target_spec(addr="nowhere"),
        target_spec(addr=7),
        target_spec(state="flying"),
        target_spec(state=None),
        target_spec(slots="many"),
        target_spec(models="m0"),
        target_spec(born=-1),
        target_spec(born=1.5),
        target_spec(service=None),
        "text",
        ["list"],
        7,
    ],
)
def test_invalid_target_record_is_ignored(spec: object) -> None:
    catalog = Catalog()
    found = listing(
        9, stored("servers/good", 3, target_spec()), stored("servers/bad", 4, spec)
    )
    catalog.replace("servers", found)
    assert set(catalog.targets.states) == {"good"}


def test_target_whose_record_becomes_invalid_is_removed() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    catalog.apply("servers", listing(4, stored("servers/a", 4, {"service": 1})))
    assert not catalog.targets.states


def test_target_restart_resets_its_state() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    before = catalog.targets.states["a"]
    before.learn_version("m0", 5, 0.0)
    spec = target_spec(born=2)
    catalog.apply("servers", listing(4, stored("servers/a", 4, spec)))
    after = catalog.targets.states["a"]
    assert after is not before
    assert after.weight_versions == {"m0": 1}
    assert [entry.life for entry in catalog.removed_targets] == [1]


def test_older_incarnation_never_replaces_a_newer_one() -> None:
    catalog = Catalog()
    spec = target_spec(born=2)
    catalog.replace("servers", listing(3, stored("servers/a", 3, spec)))
    catalog.apply("servers", listing(4, stored("servers/a", 4, target_spec(born=1))))
    assert catalog.targets.states["a"].entry.life == 2


def test_draining_target_is_marked_as_leaving() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    spec = target_spec(state="draining")
    catalog.apply("servers", listing(4, stored("servers/a", 4, spec)))
    assert catalog.targets.states["a"].is_leaving


def test_target_is_removed_immediately_while_the_store_is_healthy() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    catalog.apply("servers", listing(4, stored("servers/a", 3)))
    assert not catalog.targets.states


def test_target_removed_shortly_after_an_outage_is_kept_for_the_grace_period() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    health = catalog.coordinator.store_health["servers"]
    health.record_failure()
    health.record_answer(1_005.0)
    catalog.clock.now = 1_005.0
    catalog.apply("servers", listing(4, stored("servers/a", 3)))
    catalog.coordinator.tick(1_006.9)
    assert "a" in catalog.targets.states
    catalog.coordinator.tick(1_007.5)
    assert not catalog.targets.states


def test_target_listed_again_in_the_grace_period_is_kept() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    state = catalog.targets.states["a"]
    health = catalog.coordinator.store_health["servers"]
    health.record_failure()
    health.record_answer(1_005.0)
    catalog.clock.now = 1_005.0
    catalog.apply("servers", listing(4, stored("servers/a", 3)))
    catalog.apply("servers", listing(6, stored("servers/a", 6, target_spec())))
    catalog.coordinator.tick(1_008.0)
    assert catalog.targets.states["a"] is state


def test_older_weight_version_is_ignored() -> None:
    catalog = Catalog()
    spec = {"model": "m0", "version": 3}
    catalog.replace("versions", listing(3, stored("versions/m0", 3, spec)))
    spec = {"model": "m0", "version": 2}
    catalog.apply("versions", listing(4, stored("versions/m0", 4, spec)))
    assert catalog.wanted_weights["m0"].version == 3


def test_peer_update_supplies_changes_missed_from_the_store() -> None:
    sender, receiver = Catalog(), Catalog(lambda kind: False)
    first = listing(5, stored("config/main", 5, document_spec(7)))
    sender.replace("config", first)
    receiver.replace("config", first)
    second = listing(9, stored("config/main", 9, document_spec(8, tenants=[])))
    sender.apply("config", second)
    peer_update = sender.coordinator.peer_update_since("config", 5, 1_000.0)
    assert peer_update is not None
    receiver.coordinator.apply_peer_update(
        "config", decode_peer_update(encode_peer_update(peer_update)), "peer"
    )
    assert [document.version for document in receiver.documents] == [7, 8]
    assert receiver.coordinator.last_changed_revisions()["config"] == 9


def test_peer_update_after_an_outage_keeps_removed_targets_for_the_grace_period() -> (
    None
):
    sender, receiver = Catalog(), Catalog(lambda kind: False)
    first = listing(3, stored("servers/a", 3, target_spec()))
    for catalog in (sender, receiver):
        catalog.replace("servers", first)
    health = sender.coordinator.store_health["servers"]
    health.record_failure()
    health.record_answer(1_005.0)
    for catalog in (sender, receiver):
        catalog.clock.now = 1_005.0
    sender.apply("servers", listing(8, stored("servers/a", 3)))
    peer_update = sender.coordinator.peer_update_since("servers", 3, 1_005.0)
    assert peer_update is not None
    receiver.coordinator.apply_peer_update("servers", peer_update, "peer")
    assert "a" in receiver.targets.states
    receiver.coordinator.tick(1_007.5)
    assert not receiver.targets.states


def test_no_peer_update_before_the_first_listing() -> None:
    assert Catalog().coordinator.peer_update_since("config", 0, 0.0) is None
    assert Catalog().coordinator.peer_update_since("other", 0, 0.0) is None


def test_removal_reported_by_a_healthy_peer_is_applied_immediately() -> None:
    """Guard against use of a removed target for 2.1 s.

    A VM whose calls to the store failed kept the target for that time, although a
    peer without an outage had reported the removal.
    """
    sender, receiver = Catalog(), Catalog()
    first = listing(3, stored("servers/a", 3, target_spec()))
    for catalog in (sender, receiver):
        catalog.replace("servers", first)
    receiver.coordinator.store_health["servers"].record_failure()
    sender.apply("servers", listing(8, stored("servers/a", 3)))
    peer_update = sender.coordinator.peer_update_since("servers", 3, 1_000.0)
    assert peer_update is not None
    receiver.coordinator.apply_peer_update("servers", peer_update, "peer")
    assert not receiver.targets.states


def test_removal_reported_by_a_failing_peer_waits_for_the_store_to_recover() -> None:
    sender, receiver = Catalog(), Catalog()
    first = listing(3, stored("servers/a", 3, target_spec()))
    for catalog in (sender, receiver):
        catalog.replace("servers", first)
        catalog.coordinator.store_health["servers"].record_failure()
    sender.apply("servers", listing(8, stored("servers/a", 3)))
    peer_update = sender.coordinator.peer_update_since("servers", 3, 1_000.0)
    assert peer_update is not None
    receiver.coordinator.apply_peer_update("servers", peer_update, "peer")
    receiver.coordinator.tick(1_020.0)
    assert "a" in receiver.targets.states
    receiver.coordinator.store_health["servers"].record_answer(1_021.0)
    receiver.coordinator.tick(1_021.1)
    assert "a" in receiver.targets.states
    receiver.coordinator.tick(1_023.5)
    assert not receiver.targets.states


def recovering_and_healthy() -> tuple[Catalog, Catalog]:
    """Return a VM that just recovered from an outage, and one without an outage."""
    recovering, healthy = Catalog(), Catalog()
    for catalog in (recovering, healthy):
        first = listing(3, stored("servers/a", 3, target_spec()))
        catalog.replace("servers", first)
    health = recovering.coordinator.store_health["servers"]
    health.record_failure()
    health.record_answer(1_005.0)
    for catalog in (recovering, healthy):
        catalog.clock.now = 1_005.1
    healthy.coordinator.on_removal_seen = lambda entry: (
        recovering.coordinator.confirm_removal(entry.name, entry.life)
    )
    return recovering, healthy


def test_confirmation_from_a_healthy_vm_completes_a_pending_removal() -> None:
    """Guard against use of a removed target for 2.2 s.

    A VM that had just recovered from an outage delayed the removal, although another
    VM had seen it without an outage.
    """
    recovering, healthy = recovering_and_healthy()
    recovering.apply("servers", listing(4, stored("servers/a", 3)))
    assert "a" in recovering.targets.states
    healthy.apply("servers", listing(4, stored("servers/a", 3)))
    assert not recovering.targets.states


def test_confirmation_may_arrive_before_the_removal() -> None:
    recovering, healthy = recovering_and_healthy()
    healthy.apply("servers", listing(4, stored("servers/a", 3)))
    assert "a" in recovering.targets.states
    recovering.apply("servers", listing(4, stored("servers/a", 3)))
    assert not recovering.targets.states


def test_vm_with_a_recent_outage_confirms_no_removal() -> None:
    recovering, healthy = recovering_and_healthy()
    confirmed: list[TargetEntry] = []
    recovering.coordinator.on_removal_seen = confirmed.append
    recovering.apply("servers", listing(4, stored("servers/a", 3)))
    recovering.coordinator.tick(1_009.0)
    assert not recovering.targets.states
    assert not confirmed
    assert healthy.targets.states


def test_version_named_during_a_suspension_counts_from_its_start() -> None:
    """Guards against calls on replaced weights by a VM that was suspended.

    It counted the time of a rollout from its own first sight of the version.
    """
    catalog = Catalog()
    spec = {"model": "m0", "version": 1}
    catalog.replace("versions", listing(3, stored("versions/m0", 3, spec)))
    catalog.coordinator.tick(catalog.clock.now)
    suspended_at = catalog.clock.now
    catalog.clock.now += 3.0
    spec = {"model": "m0", "version": 2}
    catalog.apply("versions", listing(4, stored("versions/m0", 4, spec)))
    assert catalog.wanted_weights["m0"].first_seen_at == suspended_at
    # The main loop may run before the change is received.
    catalog.coordinator.tick(catalog.clock.now)
    catalog.clock.now += 0.5
    spec = {"model": "m0", "version": 3}
    catalog.apply("versions", listing(5, stored("versions/m0", 5, spec)))
    assert catalog.wanted_weights["m0"].first_seen_at == suspended_at


@pytest.mark.parametrize("is_told_first", [True, False])
def test_earlier_namings_are_kept_and_told(is_told_first: bool) -> None:
    """Guards against calls on weights that an earlier version had replaced long ago."""
    catalog = Catalog()
    first = {"model": "m0", "version": 2}
    second = {"model": "m0", "version": 3}
    named_at = catalog.clock.now - 8.0
    if is_told_first:
        catalog.coordinator.handle_naming_told("m0", 2, named_at)
    else:
        catalog.replace("versions", listing(4, stored("versions/m0", 4, first)))
        named_at = catalog.clock.now
        catalog.clock.now += 8.0
    catalog.replace("versions", listing(5, stored("versions/m0", 5, second)))
    assert catalog.wanted_weights["m0"].replaced_at(1) == named_at
    assert catalog.wanted_weights["m0"].replaced_at(2) == catalog.clock.now


@pytest.mark.parametrize("is_told_first", [True, False])
def test_version_counts_from_its_naming_after_a_restart(is_told_first: bool) -> None:
    """Guards against calls on replaced weights by a VM that restarted.

    It counted the time of a rollout from its own first sight of the version.
    """
    catalog = Catalog()
    named_at = catalog.clock.now - 8.0
    spec = {"model": "m0", "version": 2}
    if is_told_first:
        catalog.coordinator.handle_naming_told("m0", 2, named_at)
    catalog.replace("versions", listing(4, stored("versions/m0", 4, spec)))
    if not is_told_first:
        catalog.coordinator.handle_naming_told("m0", 2, named_at)
    catalog.coordinator.handle_naming_told("m0", 1, named_at - 90.0)
    assert catalog.wanted_weights["m0"].first_seen_at == named_at


def test_version_counts_from_its_sight_while_the_vm_runs() -> None:
    catalog = Catalog()
    for _ in range(60):
        catalog.clock.now += 0.05
        catalog.coordinator.tick(catalog.clock.now)
    spec = {"model": "m0", "version": 2}
    catalog.replace("versions", listing(4, stored("versions/m0", 4, spec)))
    assert catalog.wanted_weights["m0"].first_seen_at == catalog.clock.now


def test_only_the_newest_valid_document_of_several_is_put_in_force() -> None:
    """Decoding each of them delays the newest on a VM that lacks processor time."""
    catalog = Catalog()
    key = KINDS.document_key
    first, second = stored(key, 5, document_spec(1)), stored(key, 6, document_spec(2))
    invalid = stored(key, 7, {"version": 3})
    catalog.apply(KINDS.documents, listing(7, first, second, invalid))
    assert [document.version for document in catalog.documents] == [2]
    assert catalog.coordinator.objects_left_out == 1
