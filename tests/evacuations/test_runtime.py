"""Tests that a VM connects the evacuated zones and the regions to all who use them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import os

from gypsumsail.core.clock import SystemClock
from gypsumsail.logs.line_writer import LineWriter
from gypsumsail.platform.app import make_ports
from gypsumsail.platform.settings import load_settings
from gypsumsail.vm.runtime import VmRuntime
from soak.vms import Vm
from stand_ins.v1_object_store import V1ObjectStore
from tests.evacuations.common import KIND
from tests.forwarding.common import async_wait_until


def runtime(store: str) -> VmRuntime:
    """Return a VM whose settings have evacuations and regions."""
    vm = Vm("v0", "127.0.0.10", "z0", 20_000)
    vm.write_settings(store, [])
    path = vm.directory / "boot.toml"
    text = path.read_text(encoding="utf-8")
    text = text.replace(
        "[bounds]\n", '[zones]\nz1 = "north"\n[bounds]\nevac_ms = 800\n'
    )
    path.write_text(text, encoding="utf-8")
    settings = load_settings(path)
    clock = SystemClock()
    writer = LineWriter(os.open(os.devnull, os.O_WRONLY))
    return VmRuntime(settings, make_ports(settings, path, clock), clock, writer, None)


async def test_vm_acts_on_an_evacuation_until_its_object_is_deleted() -> None:
    store = V1ObjectStore()
    port = await store.server.async_start("127.0.0.1")
    vm = runtime(f"127.0.0.1:{port}")
    assert not vm.readiness().knows_evacuations
    now = vm.clock.monotonic()
    vm.gateway.view.knows_notices = lambda now: True
    assert not vm.gateway.view.may_place(now)
    task = asyncio.create_task(vm.catalog.watches[KIND].async_run())
    await async_wait_until(lambda: vm.readiness().knows_evacuations)
    assert vm.gateway.view.may_place(vm.clock.monotonic())
    await store.put(KIND, "z1", {})
    await async_wait_until(lambda: "z1" in vm.gateway.view.evacuated_zones)
    assert "z1" in vm.context_stores.evacuated_zones
    vm.metrics.update(vm)
    assert "\ngypsumsail_evacuated_zones 1" in vm.registry.exposition()
    assert 'gypsumsail_zone_evacuated{zone="z1"} 1' in vm.registry.exposition()
    await store.delete(KIND, "z1")
    await async_wait_until(lambda: not vm.gateway.view.evacuated_zones)
    vm.metrics.update(vm)
    assert 'gypsumsail_zone_evacuated{zone="z1"} 0' in vm.registry.exposition()
    for user in (vm.gateway.view, vm.helpers, vm.context_stores):
        assert user.regions.by_zone == {"z1": "north"}
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    await store.server.async_stop()
