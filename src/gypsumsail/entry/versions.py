"""Determines which engines may serve a job, based on their weight versions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gypsumsail.fleet.models import EngineReport
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import Constraints

VERSION_SWITCH_SHARE: Final = 0.5
"""Share of the engines that serve the model at which jobs switch to a new version.

An engine counts towards the share if it serves the desired weight version.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingEngine:
    """An engine that serves the job's model with a weight version."""

    vm: VmRecord
    weight_version: str


def serving_engines(
    vms: Iterable[VmRecord],
    reports: dict[str, EngineReport],
    *,
    model: str,
    adapter: str,
) -> list[ServingEngine]:
    """Return the engines that serve the model and, if one is named, the adapter."""
    found = []
    for vm in vms:
        report = reports.get(vm.vm_id)
        if report is None or not report.serving:
            continue
        found += [
            ServingEngine(vm=vm, weight_version=served.weight_version)
            for served in report.models
            if served.model == model and (not adapter or adapter in served.adapters)
        ]
    return found


def eligible_engines(
    engines: list[ServingEngine], constraints: Constraints, desired_version: str
) -> list[ServingEngine]:
    """Return the engines that a job may use.

    During a rollout, both weight versions are used until half of ``engines`` serve
    the desired version. An answer that has started stays on its version.
    """
    allowed = [engine for engine in engines if _satisfies(engine, constraints)]
    if constraints.weight_version:
        return allowed
    desired = [engine for engine in engines if engine.weight_version == desired_version]
    if len(desired) < VERSION_SWITCH_SHARE * len(engines):
        return allowed
    on_desired = [
        engine for engine in allowed if engine.weight_version == desired_version
    ]
    return on_desired or allowed


def _satisfies(engine: ServingEngine, constraints: Constraints) -> bool:
    if constraints.required_target:
        return engine.vm.vm_id == constraints.required_target
    if engine.vm.vm_id in constraints.excluded:
        return False
    required = constraints.weight_version
    return not required or engine.weight_version == required
