"""Decides which engines may serve a job, by the weight versions they have."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gypsumsail.fleet.models import EngineReport
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import Constraints

WANTED_VERSION_MAJORITY: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Server:
    """An engine that serves the job's model with a weight version."""

    vm: VmRecord
    weight_version: str


def servers(
    vms: Iterable[VmRecord],
    sightings: dict[str, EngineReport],
    *,
    model: str,
    adapter: str,
) -> list[Server]:
    """Return the engines that serve the model and adapter."""
    found = []
    for vm in vms:
        sighting = sightings.get(vm.vm_id)
        if sighting is None or not sighting.serving:
            continue
        found += [
            Server(vm=vm, weight_version=served.weight_version)
            for served in sighting.models
            if served.model == model and (not adapter or adapter in served.adapters)
        ]
    return found


def allowed_servers(
    found: list[Server], constraints: Constraints, wanted_version: str
) -> list[Server]:
    """Return the engines that a job may use.

    While a rollout goes on both versions serve, until half of the engines have
    the wanted one. An answer that was begun stays on its version.
    """
    allowed = [server for server in found if _fits(server, constraints)]
    if constraints.weight_version:
        return allowed
    wanted = [server for server in found if server.weight_version == wanted_version]
    if len(wanted) < WANTED_VERSION_MAJORITY * len(found):
        return allowed
    on_wanted = [
        server for server in allowed if server.weight_version == wanted_version
    ]
    return on_wanted or allowed


def _fits(server: Server, constraints: Constraints) -> bool:
    if constraints.only:
        return server.vm.vm_id == constraints.only
    if server.vm.vm_id in constraints.excluded:
        return False
    wanted = constraints.weight_version
    return not wanted or server.weight_version == wanted
