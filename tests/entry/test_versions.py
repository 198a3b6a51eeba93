"""Tests of the selection of engines by weight version during a rollout."""

from __future__ import annotations

import pytest

from gypsumsail.entry.versions import ServingEngine, eligible_engines, serving_engines
from gypsumsail.fleet.models import EngineReport, ServedModel
from gypsumsail.relay.models import Constraints
from tests.relay.common import make_vm


def make_report(
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


def make_serving_engine(name: str, version: str) -> ServingEngine:
    return ServingEngine(vm=make_vm(name), weight_version=version)


def test_only_serving_engines_with_the_adapter_are_returned() -> None:
    reports = {
        "a": make_report("a", "w1", adapters=("letters",)),
        "b": make_report("b", "w1"),
        "c": make_report("c", "w1", serving=False, adapters=("letters",)),
    }
    vms = [make_vm(name) for name in ("a", "b", "c", "unseen")]
    found = serving_engines(vms, reports, model="dossier", adapter="letters")
    assert [engine.vm.vm_id for engine in found] == ["a"]
    assert not serving_engines(vms, reports, model="other", adapter="")


@pytest.mark.parametrize(
    ("versions", "allowed"),
    [
        (["w1", "w1", "w1", "w2"], {"w1", "w2"}),
        (["w1", "w1", "w2", "w2"], {"w2"}),
        (["w1", "w1"], {"w1"}),
        (["w2", "w2"], {"w2"}),
    ],
)
def test_desired_version_takes_over_when_half_of_the_engines_serve_it(
    versions: list[str], allowed: set[str]
) -> None:
    found = [
        make_serving_engine(f"engine-{number}", version)
        for number, version in enumerate(versions)
    ]
    left = eligible_engines(found, Constraints(), "w2")
    assert {engine.weight_version for engine in left} == allowed


def test_started_answer_stays_on_its_version() -> None:
    found = [
        make_serving_engine("a", "w1"),
        make_serving_engine("b", "w2"),
        make_serving_engine("c", "w2"),
    ]
    constraints = Constraints(weight_version="w1")
    left = eligible_engines(found, constraints, "w2")
    assert [engine.vm.vm_id for engine in left] == ["a"]


def test_excluded_and_required_targets_are_respected() -> None:
    found = [make_serving_engine("a", "w1"), make_serving_engine("b", "w1")]
    without = eligible_engines(found, Constraints(excluded=frozenset({"a"})), "w1")
    only = eligible_engines(found, Constraints(required_target="a"), "w1")
    assert [engine.vm.vm_id for engine in without] == ["b"]
    assert [engine.vm.vm_id for engine in only] == ["a"]
