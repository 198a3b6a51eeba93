"""Tests of what the platform's objects make this VM believe."""

from __future__ import annotations

import pytest

from gypsumsail.catalog.copies import decode_copy, encode_copy
from gypsumsail.gateway.models import TargetEntry
from tests.catalog.common import Catalog, document_spec, listing, stored, target_spec


def test_a_document_comes_into_force_once_and_never_reverts() -> None:
    catalog = Catalog()
    catalog.replace("config", listing(5, stored("config/main", 5, document_spec(7))))
    catalog.apply("config", listing(6, stored("config/main", 6, document_spec(8))))
    catalog.apply("config", listing(7, stored("config/main", 5, document_spec(7))))
    assert [document.version for document in catalog.documents] == [7, 8]


def test_a_document_that_can_not_be_read_leaves_the_last_one() -> None:
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
def test_an_entry_of_another_writer_names_no_target(spec: object) -> None:
    catalog = Catalog()
    found = listing(
        9, stored("servers/good", 3, target_spec()), stored("servers/bad", 4, spec)
    )
    catalog.replace("servers", found)
    assert set(catalog.targets.states) == {"good"}


def test_an_entry_that_turns_bad_names_no_target_any_more() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    catalog.apply("servers", listing(4, stored("servers/a", 4, {"service": 1})))
    assert not catalog.targets.states


def test_a_restart_under_the_same_name_forgets_what_was_kept() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    before = catalog.targets.states["a"]
    before.learn_version("m0", 5, 0.0)
    spec = target_spec(born=2)
    catalog.apply("servers", listing(4, stored("servers/a", 4, spec)))
    after = catalog.targets.states["a"]
    assert after is not before
    assert after.weight_versions == {"m0": 1}
    assert [entry.life for entry in catalog.gone] == [1]


def test_an_older_life_never_replaces_a_newer_one() -> None:
    catalog = Catalog()
    spec = target_spec(born=2)
    catalog.replace("servers", listing(3, stored("servers/a", 3, spec)))
    catalog.apply("servers", listing(4, stored("servers/a", 4, target_spec(born=1))))
    assert catalog.targets.states["a"].entry.life == 2


def test_a_leaving_target_is_known_at_once() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    spec = target_spec(state="draining")
    catalog.apply("servers", listing(4, stored("servers/a", 4, spec)))
    assert catalog.targets.states["a"].is_leaving


def test_a_removed_target_is_gone_at_once_while_the_store_is_well() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    catalog.apply("servers", listing(4, stored("servers/a", 3)))
    assert not catalog.targets.states


def test_a_target_that_lapsed_in_an_outage_is_used_until_it_may_be_back() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    link = catalog.coordinator.links["servers"]
    link.failed()
    link.answered(1_005.0)
    catalog.clock.now = 1_005.0
    catalog.apply("servers", listing(4, stored("servers/a", 3)))
    catalog.coordinator.tick(1_006.9)
    assert "a" in catalog.targets.states
    catalog.coordinator.tick(1_007.5)
    assert not catalog.targets.states


def test_a_target_that_is_listed_again_stays() -> None:
    catalog = Catalog()
    catalog.replace("servers", listing(3, stored("servers/a", 3, target_spec())))
    state = catalog.targets.states["a"]
    link = catalog.coordinator.links["servers"]
    link.failed()
    link.answered(1_005.0)
    catalog.clock.now = 1_005.0
    catalog.apply("servers", listing(4, stored("servers/a", 3)))
    catalog.apply("servers", listing(6, stored("servers/a", 6, target_spec())))
    catalog.coordinator.tick(1_008.0)
    assert catalog.targets.states["a"] is state


def test_named_weights_only_grow() -> None:
    catalog = Catalog()
    spec = {"model": "m0", "version": 3}
    catalog.replace("versions", listing(3, stored("versions/m0", 3, spec)))
    spec = {"model": "m0", "version": 2}
    catalog.apply("versions", listing(4, stored("versions/m0", 4, spec)))
    assert catalog.wanted["m0"].version == 3


def test_a_peers_copy_brings_what_the_store_does_not_tell() -> None:
    teller, learner = Catalog(), Catalog(lambda kind: False)
    first = listing(5, stored("config/main", 5, document_spec(7)))
    teller.replace("config", first)
    learner.replace("config", first)
    second = listing(9, stored("config/main", 9, document_spec(8, tenants=[])))
    teller.apply("config", second)
    copy = teller.coordinator.copy_since("config", 5, 1_000.0)
    assert copy is not None
    learner.coordinator.take_copy("config", decode_copy(encode_copy(copy)), "peer")
    assert [document.version for document in learner.documents] == [7, 8]
    assert learner.coordinator.changed_at()["config"] == 9


def test_a_copy_that_tells_of_an_outage_keeps_lapsed_targets() -> None:
    teller, learner = Catalog(), Catalog(lambda kind: False)
    first = listing(3, stored("servers/a", 3, target_spec()))
    for catalog in (teller, learner):
        catalog.replace("servers", first)
    link = teller.coordinator.links["servers"]
    link.failed()
    link.answered(1_005.0)
    for catalog in (teller, learner):
        catalog.clock.now = 1_005.0
    teller.apply("servers", listing(8, stored("servers/a", 3)))
    copy = teller.coordinator.copy_since("servers", 3, 1_005.0)
    assert copy is not None
    learner.coordinator.take_copy("servers", copy, "peer")
    assert "a" in learner.targets.states
    learner.coordinator.tick(1_007.5)
    assert not learner.targets.states


def test_without_a_copy_there_is_nothing_to_give() -> None:
    assert Catalog().coordinator.copy_since("config", 0, 0.0) is None
    assert Catalog().coordinator.copy_since("other", 0, 0.0) is None


def test_a_removal_that_a_calm_peer_saw_counts_at_once() -> None:
    """A VM that the store refused kept a target for 2.1 s after it had left."""
    teller, learner = Catalog(), Catalog()
    first = listing(3, stored("servers/a", 3, target_spec()))
    for catalog in (teller, learner):
        catalog.replace("servers", first)
    learner.coordinator.links["servers"].failed()
    teller.apply("servers", listing(8, stored("servers/a", 3)))
    copy = teller.coordinator.copy_since("servers", 3, 1_000.0)
    assert copy is not None
    learner.coordinator.take_copy("servers", copy, "peer")
    assert not learner.targets.states


def test_a_lapse_that_a_peer_saw_in_the_outage_waits_for_the_return() -> None:
    teller, learner = Catalog(), Catalog()
    first = listing(3, stored("servers/a", 3, target_spec()))
    for catalog in (teller, learner):
        catalog.replace("servers", first)
        catalog.coordinator.links["servers"].failed()
    teller.apply("servers", listing(8, stored("servers/a", 3)))
    copy = teller.coordinator.copy_since("servers", 3, 1_000.0)
    assert copy is not None
    learner.coordinator.take_copy("servers", copy, "peer")
    learner.coordinator.tick(1_020.0)
    assert "a" in learner.targets.states
    learner.coordinator.links["servers"].answered(1_021.0)
    learner.coordinator.tick(1_021.1)
    assert "a" in learner.targets.states
    learner.coordinator.tick(1_023.5)
    assert not learner.targets.states


def troubled_and_calm() -> tuple[Catalog, Catalog]:
    """Return a VM that the store refused lately and one that it serves."""
    troubled, calm = Catalog(), Catalog()
    for catalog in (troubled, calm):
        first = listing(3, stored("servers/a", 3, target_spec()))
        catalog.replace("servers", first)
    link = troubled.coordinator.links["servers"]
    link.failed()
    link.answered(1_005.0)
    for catalog in (troubled, calm):
        catalog.clock.now = 1_005.1
    calm.coordinator.on_seen_gone = lambda entry: (
        troubled.coordinator.seen_gone_by_peer(entry.name, entry.life)
    )
    return troubled, calm


def test_the_word_of_a_calm_vm_ends_a_lapse() -> None:
    """A VM that the store refused just before used a removed target for 2.2 s."""
    troubled, calm = troubled_and_calm()
    troubled.apply("servers", listing(4, stored("servers/a", 3)))
    assert "a" in troubled.targets.states
    calm.apply("servers", listing(4, stored("servers/a", 3)))
    assert not troubled.targets.states


def test_the_word_of_a_calm_vm_may_come_first() -> None:
    troubled, calm = troubled_and_calm()
    calm.apply("servers", listing(4, stored("servers/a", 3)))
    assert "a" in troubled.targets.states
    troubled.apply("servers", listing(4, stored("servers/a", 3)))
    assert not troubled.targets.states


def test_a_troubled_vm_tells_of_no_removal() -> None:
    troubled, calm = troubled_and_calm()
    told: list[TargetEntry] = []
    troubled.coordinator.on_seen_gone = told.append
    troubled.apply("servers", listing(4, stored("servers/a", 3)))
    troubled.coordinator.tick(1_009.0)
    assert not troubled.targets.states
    assert not told
    assert calm.targets.states
