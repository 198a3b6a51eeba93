"""Complete deployment on loopback in separate processes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
import json
from pathlib import Path
import time
from typing import Any, Final

import httpx

from bench.layouts import MODEL_PATH, Layout, documents
from bench.processes import Launcher, RunningProcess
from bench.vms import Vm, entry_vms, is_live, target_vms

__all__ = [
    "OPERATOR_KEY",
    "PEER_SECRET",
    "Deployment",
    "DeploymentError",
    "Vm",
    "async_bring_up",
    "entry_vms",
    "is_live",
    "target_vms",
]

OPERATOR_KEY: Final = "bench-operator-key-0123456789"
PEER_SECRET: Final = "bench-peer-secret-0123456789"
MAX_PARALLEL_STARTS: Final = 4
IN_FORCE_TIMEOUT_SECONDS: Final = 60.0
SERVING_TIMEOUT_SECONDS: Final = 60.0
ENTRY_STOP_TIMEOUT_SECONDS: Final = 10.0


class DeploymentError(Exception):
    """The deployment could not be started, or a call to it failed."""


@dataclass(slots=True, kw_only=True)
class Deployment:
    """Processes of one layout.

    Attributes
    ----------
    vms
        All VMs except the platform by id; the platform lists those that run.
    """

    layout: Layout
    launcher: Launcher
    client: httpx.AsyncClient
    policy: str
    platform: RunningProcess
    vms: dict[str, Vm] = field(default_factory=dict)

    @property
    def environment(self) -> dict[str, str]:
        """Return the environment variables of entries and operator commands."""
        return {
            "GYPSUMSAIL_PLATFORM_URL": self.platform.url,
            "GYPSUMSAIL_OPERATOR_KEY": OPERATOR_KEY,
            "GYPSUMSAIL_PEER_SECRET": PEER_SECRET,
        }

    def of_role(self, role: str, service: str = "") -> list[Vm]:
        """Return the VMs with a role and, if given, of a service."""
        return [
            vm
            for vm in self.vms.values()
            if vm.role == role and service in ("", vm.service)
        ]

    def entry_url(self, number: int) -> str:
        """Return the URL of the entry with a number, or of the next running one."""
        entries = self.of_role("entry")
        for step in range(len(entries)):
            vm = entries[(number + step) % len(entries)]
            if vm.process is not None and vm.process.is_running:
                return vm.url
        return entries[number % len(entries)].url

    async def async_start(self, vm: Vm) -> None:
        """Start the process of a VM under a new incarnation."""
        is_entry = vm.role == "entry"
        vm.start_count += 1
        vm.process = await self.launcher.start_module(
            vm.vm_id,
            vm.module,
            vm.arguments,
            environment=self.environment if is_entry else None,
        )
        # ``PORT``, or ``PORT peers PEER_PORT`` for an entry.
        port, *peers = vm.process.ready_line.split()
        vm.url = f"http://127.0.0.1:{port}"
        vm.peer_url = f"ws://127.0.0.1:{peers[-1]}" if peers else ""
        self.vms[vm.vm_id] = vm

    async def async_start_all(self, vms: Sequence[Vm]) -> None:
        """Start VMs, at most ``MAX_PARALLEL_STARTS`` at the same time."""
        slots = asyncio.Semaphore(MAX_PARALLEL_STARTS)

        async def start(vm: Vm) -> None:
            async with slots:
                await self.async_start(vm)

        for vm in vms:
            self.vms[vm.vm_id] = vm
        await asyncio.gather(*(start(vm) for vm in vms))

    async def async_publish_vm_list(self) -> None:
        """Replace the platform's VM list by the VMs whose processes run."""
        live = [vm.record() for vm in self.vms.values() if is_live(vm)]
        response = await self.client.put(
            f"{self.platform.url}/control/vms", json={"vms": live}
        )
        response.raise_for_status()

    async def async_run_operator_command(self, *arguments: str) -> RunningProcess:
        """Run an operator command to its end."""
        return await self.launcher.run_module(
            arguments[0], "gypsumsail", arguments, environment=self.environment
        )

    async def async_apply_documents(self, directory: Path) -> None:
        """Apply the service documents and wait until all entries have them in force.

        Raises
        ------
        DeploymentError
            A document is rejected or not in force in time.
        """
        texts = documents(self.layout)
        for service, text in texts.items():
            file = directory / f"{service}.yaml"
            file.write_text(text, encoding="utf-8")
            done = await self.async_run_operator_command("document", "apply", str(file))
            if done.process.returncode:
                raise DeploymentError(
                    f"document of {service} was not applied: {list(done.output)}"
                )
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while not await self._async_is_in_force(len(texts)):
            if time.monotonic() > deadline:
                raise DeploymentError(
                    "the documents are not in force on all entries in time"
                )
            await asyncio.sleep(0.2)

    async def _async_is_in_force(self, service_count: int) -> bool:
        versions = await self.async_in_force()
        return len(versions) == len(self.layout.entry_zones) and all(
            len(found) == service_count for found in versions.values()
        )

    async def async_wait_serving(self) -> None:
        """Wait until each entry has answered a call to each service.

        Raises
        ------
        DeploymentError
            An entry does not serve in time.
        """
        key = self.layout.customers[0].api_key
        headers = {"Authorization": f"Bearer {key}"}
        calls = [
            (vm.url + MODEL_PATH, {"model": service.model, "prompt": "are you there?"})
            for vm in self.of_role("entry")
            for service in self.layout.model_services
        ]
        calls += [
            (vm.url + self.layout.plain_service.path, {"prompt": f"from {vm.vm_id}"})
            for vm in self.of_role("entry")
        ]
        deadline = time.monotonic() + SERVING_TIMEOUT_SECONDS
        for url, body in calls:
            while (await self._async_status(url, body, headers)) != httpx.codes.OK:
                if time.monotonic() > deadline:
                    raise DeploymentError(
                        f"{url} does not answer with status 200 in time"
                    )
                await asyncio.sleep(0.2)

    async def _async_status(
        self, url: str, body: dict[str, str], headers: dict[str, str]
    ) -> int:
        try:
            response = await self.client.post(url, json=body, headers=headers)
        except httpx.HTTPError:
            return 0
        return response.status_code

    async def async_in_force(self) -> dict[str, dict[str, int]]:
        """Return the version in force of each service on each entry."""
        versions: dict[str, dict[str, int]] = {}
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        for vm in self.of_role("entry"):
            try:
                response = await self.client.get(
                    f"{vm.url}/operator/in-force", headers=headers
                )
                found = response.raise_for_status().json()["documents"]
            except httpx.HTTPError:
                continue
            versions[vm.vm_id] = {row["service"]: row["version"] for row in found}
        return versions

    async def async_counters(self, process: RunningProcess) -> dict[str, Any]:
        """Return the counters of a stand-in, or nothing if it is unreachable."""
        try:
            response = await self.client.get(f"{process.url}/control")
        except httpx.HTTPError:
            return {}
        found: dict[str, Any] = response.json()["counters"]
        return found

    async def async_set_fault(
        self, process: RunningProcess, fault: str, **values: Any
    ) -> None:
        """Activate or deactivate a fault of a stand-in."""
        order = json.dumps({"fault": fault, **values})
        await self.client.post(f"{process.url}/control", content=order)

    async def async_stop_entries(self) -> None:
        """Stop all entries gracefully at the same time."""
        await asyncio.gather(
            *(
                vm.process.terminate(ENTRY_STOP_TIMEOUT_SECONDS)
                for vm in self.of_role("entry")
                if vm.process is not None
            )
        )


async def async_bring_up(
    layout: Layout,
    launcher: Launcher,
    client: httpx.AsyncClient,
    *,
    policy: str,
    directory: Path,
) -> Deployment:
    """Start all processes of a layout, apply its documents and wait for service."""
    platform = await launcher.start_module("platform", "stand_ins.platform")
    deployment = Deployment(
        layout=layout,
        launcher=launcher,
        client=client,
        policy=policy,
        platform=platform,
    )
    await deployment.async_start_all(target_vms(layout, platform.url))
    await deployment.async_start_all(entry_vms(layout, policy))
    await deployment.async_publish_vm_list()
    await deployment.async_apply_documents(directory)
    await deployment.async_wait_serving()
    return deployment
