"""Tests of which engines may serve a job during a rollout."""

from __future__ import annotations

import pytest

from gypsumsail.entry.versions import Server, allowed_servers, servers
from gypsumsail.fleet.models import EngineReport, ServedModel
from gypsumsail.relay.models import Constraints
from tests.relay.common import make_vm


def make_sighting(
    target: str, version: str, *, serving: bool = True, adapters: tuple[str, ...] = ()
) -> EngineReport:
    return EngineReport(
        target=target,
        incarnation="1",
        running=0,
        waiting=0,
        queued_prompt_tokens=0,
        age=0.0,
        serving=serving,
        models=(
            ServedModel(model="dossier", weight_version=version, adapters=adapters),
        ),
    )


def make_server(name: str, version: str) -> Server:
    return Server(vm=make_vm(name), weight_version=version)


def test_only_serving_engines_that_were_seen_with_the_adapter_count() -> None:
    sightings = {
        "a": make_sighting("a", "w1", adapters=("letters",)),
        "b": make_sighting("b", "w1"),
        "c": make_sighting("c", "w1", serving=False, adapters=("letters",)),
    }
    vms = [make_vm(name) for name in ("a", "b", "c", "unseen")]
    found = servers(vms, sightings, model="dossier", adapter="letters")
    assert [server.vm.vm_id for server in found] == ["a"]
    assert not servers(vms, sightings, model="other", adapter="")


@pytest.mark.parametrize(
    ("versions", "allowed"),
    [
        (["w1", "w1", "w1", "w2"], {"w1", "w2"}),
        (["w1", "w1", "w2", "w2"], {"w2"}),
        (["w1", "w1"], {"w1"}),
        (["w2", "w2"], {"w2"}),
    ],
)
def test_the_wanted_version_takes_over_when_half_of_the_engines_have_it(
    versions: list[str], allowed: set[str]
) -> None:
    found = [
        make_server(f"engine-{number}", version)
        for number, version in enumerate(versions)
    ]
    left = allowed_servers(found, Constraints(), "w2")
    assert {server.weight_version for server in left} == allowed


def test_an_answer_that_was_begun_stays_on_its_version() -> None:
    found = [make_server("a", "w1"), make_server("b", "w2"), make_server("c", "w2")]
    constraints = Constraints(weight_version="w1")
    left = allowed_servers(found, constraints, "w2")
    assert [server.vm.vm_id for server in left] == ["a"]


def test_a_failed_target_is_left_out_and_an_only_one_is_kept_to() -> None:
    found = [make_server("a", "w1"), make_server("b", "w1")]
    without = allowed_servers(found, Constraints(excluded=frozenset({"a"})), "w1")
    only = allowed_servers(found, Constraints(only="a"), "w1")
    assert [server.vm.vm_id for server in without] == ["b"]
    assert [server.vm.vm_id for server in only] == ["a"]
