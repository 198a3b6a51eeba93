"""Connects the adapters of Kerlann's platform to the gateway process of a VM."""

from __future__ import annotations

import os
from pathlib import Path

from gypsumsail.catalog.coordinator import Kinds
from gypsumsail.core.clock import SystemClock
from gypsumsail.gateway.models import RoutingDocument, TargetEntry
from gypsumsail.logs.decisions import setup_json_log
from gypsumsail.platform import documents, names
from gypsumsail.platform.calls import PlatformReply, PlatformTargetCalls, parse_call
from gypsumsail.platform.client import JsonClient
from gypsumsail.platform.context_stores import PlatformContextStores
from gypsumsail.platform.engines import PlatformEngines
from gypsumsail.platform.objects import PlatformObjects
from gypsumsail.platform.settings import load_settings
from gypsumsail.vm.const import STORE_TIMEOUT_SECONDS
from gypsumsail.vm.ports import VmPorts
from gypsumsail.vm.runtime import VmRuntime
from gypsumsail.vm.settings import VmSettings

STDOUT_FILENO = 1


class PlatformDecoder:
    """Decodes values of the platform's object store."""

    def document(self, value: bytes, revision: int) -> RoutingDocument:
        """Decode a routing document; ``revision`` is the version of its object."""
        return documents.decode_document(value, revision)

    def isolated_customers(self, value: bytes) -> frozenset[str]:
        """Return the customers that an invalid routing document isolates."""
        return documents.read_isolated_customers(value)

    def target(self, name: str, value: bytes) -> TargetEntry:
        """Decode the object of a target."""
        return documents.decode_target(name, value)

    def weights(self, value: bytes) -> tuple[str, int]:
        """Decode a weights object into a model name and its version."""
        return documents.decode_weights(value)

    def check_evacuation(self, value: bytes) -> None:
        """Check the object of an evacuated zone."""
        documents.check_evacuation(value)


def settings_path() -> Path | None:
    """Return the settings path from the environment, or ``None`` if it is not set."""
    path = os.environ.get(names.SETTINGS_PATH_VARIABLE)
    return Path(path) if path else None


def make_ports(settings: VmSettings, path: Path, clock: SystemClock) -> VmPorts:
    """Create the platform adapters of a process."""
    api = PlatformObjects(
        JsonClient(settings.object_store), STORE_TIMEOUT_SECONDS, clock
    )
    calls = PlatformTargetCalls(clock, settings.vm)
    engines = PlatformEngines(clock, settings.vm)

    def close_idle_connections(target: TargetEntry) -> None:
        calls.forget(target)
        engines.forget(target)

    return VmPorts(
        object_api=api,
        eras=api.eras,
        unreadable_entries=lambda: api.answers.left_out,
        kinds=Kinds(
            documents=names.ROUTING_DOCUMENT_KIND,
            document_key=names.ROUTING_DOCUMENT_KEY,
            targets=names.TARGET_KIND,
            weights=names.WEIGHTS_KIND,
            evacuations=(
                names.EVACUATION_KIND if settings.change_bounds.evacuation else ""
            ),
        ),
        decoder=PlatformDecoder(),
        calls=calls,
        orders=engines,
        stores=PlatformContextStores(),
        vms_kind=names.VM_KIND,
        kept_state_kind=names.KEPT_STATE_KIND,
        kept_parts_kind=names.KEPT_PARTS_KIND,
        list_vms=lambda: api.async_list(names.VM_KIND, allow_stale=True),
        ready_path=names.READY_PATH,
        read_call=parse_call,
        make_reply=PlatformReply,
        on_target_removed=close_idle_connections,
        load_settings=lambda: load_settings(path),
    )


async def async_run_vm(
    path: Path,
    metrics_port: int | None,
    hedge_share: float = 0.0,
    *,
    divides_engines: bool = False,
) -> None:
    """Run the process of one VM until it receives a stop signal."""
    settings = load_settings(path)
    writer = setup_json_log(settings.vm, STDOUT_FILENO)
    clock = SystemClock()
    ports = make_ports(settings, path, clock)
    runtime = VmRuntime(
        settings,
        ports,
        clock,
        writer,
        metrics_port,
        hedge_share,
        divides_engines=divides_engines,
    )
    await runtime.async_run()
