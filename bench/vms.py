"""VMs of a deployment and their processes."""

from __future__ import annotations

from dataclasses import dataclass

from bench.layouts import WEIGHT_VERSION, Layout, ModelServiceLayout
from bench.processes import RunningProcess


@dataclass(slots=True, kw_only=True)
class Vm:
    """One VM of the deployment and its process.

    Attributes
    ----------
    module, arguments
        Python module of the process and its arguments, also for a restart.
    url, peer_url
        Address for requests, and address for other entries; empty before the start.
    start_count
        Number of starts; part of the incarnation.
    """

    vm_id: str
    zone: str
    role: str
    service: str
    module: str
    arguments: tuple[str, ...]
    process: RunningProcess | None = None
    url: str = ""
    peer_url: str = ""
    start_count: int = 0

    def record(self) -> dict[str, str]:
        """Return the record of the VM in the platform's VM list."""
        return {
            "vm_id": self.vm_id,
            "incarnation": f"{self.vm_id}-{self.start_count}",
            "zone": self.zone,
            "role": self.role,
            "service": self.service,
            "state": "live",
            "url": self.url,
            "peer_url": self.peer_url,
        }


def is_live(vm: Vm) -> bool:
    """Return whether the process of a VM is running."""
    return vm.process is not None and vm.process.is_running


def target_vms(layout: Layout, platform_url: str) -> list[Vm]:
    """Return the VMs of the targets and stores of a layout."""
    plain = layout.plain_service
    found = [
        vm
        for service in layout.model_services
        for vm in _service_vms(service, platform_url)
    ]
    found.append(
        Vm(
            vm_id=f"{plain.service}-1",
            zone=plain.zone,
            role="plain",
            service=plain.service,
            module="stand_ins.plain",
            arguments=(),
        )
    )
    return found


def _service_vms(service: ModelServiceLayout, platform_url: str) -> list[Vm]:
    speed = service.link_bytes_per_second
    engine_arguments = (
        f"--model={service.model}:{WEIGHT_VERSION}",
        f"--cache-tokens={service.cache_tokens}",
        f"--step-seconds={service.step_seconds}",
        f"--platform-url={platform_url}",
    )
    store = Vm(
        vm_id=f"{service.service}-store",
        zone=service.store_zone,
        role="store",
        service=service.service,
        module="stand_ins.store",
        arguments=(
            f"--memory-bytes-per-second={speed}",
            f"--disk-bytes-per-second={speed / 4}",
        ),
    )
    engines = [
        Vm(
            vm_id=f"{service.service}-engine-{number}",
            zone=zone,
            role="engine",
            service=service.service,
            module="stand_ins.engine",
            arguments=engine_arguments,
        )
        for number, zone in enumerate(service.engine_zones, 1)
    ]
    return [store, *engines]


def entry_vms(layout: Layout, policy: str) -> list[Vm]:
    """Return the VMs of the entries of a layout."""
    return [
        Vm(
            vm_id=f"entry-{number}",
            zone=zone,
            role="entry",
            service="",
            module="gypsumsail",
            arguments=(
                "entry",
                f"--name=entry-{number}",
                f"--zone={zone}",
                f"--region={layout.region}",
                "--listen=127.0.0.1:0",
                "--peer-listen=127.0.0.1:0",
                f"--routing-policy={policy}",
                "--log-level=warning",
                "--log-format=text",
            ),
        )
        for number, zone in enumerate(layout.entry_zones, 1)
    ]
