"""Test of a rollout with entries and engines in separate processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
import json
from pathlib import Path
from typing import Any

import httpx

from bench.deployment import Deployment, Vm, entry_vms, target_vms
from bench.layouts import KERLANN, documents
from bench.processes import Launcher, RunningProcess

ZONES = KERLANN.entry_zones[:3]
SERVICE = replace(KERLANN.short_service, engine_zones=(*ZONES, ZONES[0]))
LAYOUT = replace(KERLANN, entry_zones=ZONES, short_service=SERVICE)
MAX_LOADING = 1
POLL_SECONDS = 0.05
POLLS = 1_600
WEIGHT_BYTES_PER_SECOND = 1e8


@dataclass(slots=True, kw_only=True)
class RolloutObserver:
    """States of the engines that were read during a rollout."""

    max_loading: int = 0
    states: tuple[dict[str, Any], ...] = ()

    def all_serve(self, version: str) -> bool:
        return all(
            not state["loading"] and state["models"][0]["weight_version"] == version
            for state in self.states
        )


def process_of(vm: Vm) -> RunningProcess:
    assert vm.process is not None
    return vm.process


async def async_poll(deployment: Deployment, observer: RolloutObserver) -> None:
    engines = deployment.of_role("engine")
    answers = await asyncio.gather(
        *(deployment.client.get(f"{vm.url}/state") for vm in engines)
    )
    observer.states = tuple(answer.json() for answer in answers)
    loading = sum(bool(state["loading"]) for state in observer.states)
    observer.max_loading = max(observer.max_loading, loading)


def write_document(file: Path, version: str) -> None:
    document = json.loads(documents(LAYOUT)[SERVICE.service])
    document["models"][0]["weight_version"] = version
    file.write_text(json.dumps(document), encoding="utf-8")


async def async_apply(
    deployment: Deployment, file: Path, version: str, *options: str
) -> None:
    write_document(file, version)
    done = await deployment.async_run_operator_command(
        "document", "apply", str(file), *options
    )
    assert done.process.returncode == 0, list(done.output)


async def async_until_loading(
    deployment: Deployment, observer: RolloutObserver, zone: str
) -> None:
    """Wait until the first engine of the zone loads; the second is then waiting."""
    zones = [vm.zone for vm in deployment.of_role("engine")]
    for _ in range(POLLS):
        await async_poll(deployment, observer)
        shown = zip(zones, observer.states, strict=True)
        if any(state["loading"] for found, state in shown if found == zone):
            return
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError("no engine of the zone started to load")


async def async_until_all_serve(
    deployment: Deployment, observer: RolloutObserver, version: str
) -> None:
    for _ in range(POLLS):
        await async_poll(deployment, observer)
        if observer.all_serve(version):
            return
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError(f"not all engines serve {version}: {observer.states}")


async def test_rollout_continues_after_issuer_crash_one_engine_at_a_time(
    launcher: Launcher, client: httpx.AsyncClient, tmp_path: Path
) -> None:
    slow = f"--weight-bytes-per-second={WEIGHT_BYTES_PER_SECOND}"
    platform = await launcher.start_module("platform", "stand_ins.platform", (slow,))
    deployment = Deployment(
        layout=LAYOUT, launcher=launcher, client=client, policy="", platform=platform
    )
    engines = [
        vm
        for vm in target_vms(LAYOUT, platform.url)
        if vm.role == "engine" and vm.service == SERVICE.service
    ]
    entries = [
        replace(vm, arguments=tuple(a for a in vm.arguments if "policy" not in a))
        for vm in entry_vms(LAYOUT, "")
    ]
    await deployment.async_start_all([*engines, *entries])
    await deployment.async_publish_vm_list()
    file, observer = tmp_path / "portal.yaml", RolloutObserver()
    await async_apply(deployment, file, "v1")
    await async_until_all_serve(deployment, observer, "v1")
    applying = asyncio.create_task(
        async_apply(deployment, file, "v2", "--expected-version", "1")
    )
    await async_until_loading(deployment, observer, entries[0].zone)
    await process_of(entries[0]).kill()
    await applying
    await deployment.async_start(entries[0])
    await deployment.async_publish_vm_list()
    await async_until_all_serve(deployment, observer, "v2")
    assert observer.max_loading == MAX_LOADING
