"""Tests of VMs that miss for a moment that targets of another build have joined."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.core.errors import StreamUnknownError
from gypsumsail.gateway.stream_resumption import StreamResumption
from gypsumsail.gateway.telemetry import GatewayTelemetry
from gypsumsail.metrics.registry import MetricsRegistry
from tests.catalog.common import KINDS
from tests.common import ManualClock
from tests.gateway.common import ENGINES, call, decision_log, job, stream_route
from tests.vm.common import RETURN_SECONDS, HistoryStore, KeepingVm


async def observing_vm(api: HistoryStore, clock: ManualClock) -> KeepingVm:
    """Return a VM that has seen one build for a long time."""
    api.add_target("e1", "v1")
    vm = KeepingVm(api, "v1", clock)
    for watch in vm.catalog.coordinator.watches.values():
        watch.api = api
        watch.must_list = False
    await vm.async_start()
    await vm.async_observe(2 * RETURN_SECONDS)
    return vm


async def take_up(vm: KeepingVm) -> str:
    """Return the build at which a stream goes on that no VM has told of."""
    telemetry = GatewayTelemetry(decision_log(vm.clock), MetricsRegistry())
    resumption = StreamResumption(vm.builds, vm.clock, telemetry)
    resumption.confirm_targets = vm.catalog.coordinator.async_confirm_targets
    its_call = call("/s/x", now=vm.clock.now, resume_after="1", resumes="id-0")
    return await resumption.async_find_build(
        job(1, its_call, stream_route(), service=ENGINES)
    )


async def test_stream_goes_on_at_the_only_build() -> None:
    vm = await observing_vm(HistoryStore(), ManualClock())
    assert await take_up(vm) == "v1"


async def test_build_that_joined_while_the_vm_was_out_of_step_is_not_missed() -> None:
    """The stream may have begun there, through another VM."""
    api = HistoryStore()
    vm = await observing_vm(api, ManualClock())
    api.add_target("e2", "v2")
    with pytest.raises(StreamUnknownError):
        await take_up(vm)


async def test_build_that_joined_and_left_is_not_missed() -> None:
    api = HistoryStore()
    vm = await observing_vm(api, ManualClock())
    api.add_target("e2", "v2")
    api.remove_target("e2")
    with pytest.raises(StreamUnknownError):
        await take_up(vm)


async def test_vm_that_can_not_ask_the_store_trusts_no_only_build() -> None:
    api = HistoryStore()
    vm = await observing_vm(api, ManualClock())
    api.is_down = True
    with pytest.raises(StreamUnknownError):
        await take_up(vm)


async def test_streams_that_are_taken_up_together_share_a_call() -> None:
    class CountingStore(HistoryStore):
        watches = 0

        async def async_watch(self, *args: object, **kwargs: object) -> object:  # type: ignore[override]
            self.watches += 1
            await asyncio.sleep(0.01)
            return await super().async_watch(*args, **kwargs)  # type: ignore[arg-type]

    api = CountingStore()
    vm = await observing_vm(api, ManualClock())
    before = api.watches
    watch = vm.catalog.coordinator.watches[KINDS.targets]
    vm.clock.now += 1.0
    assert all(await asyncio.gather(*(watch.async_confirm() for _ in range(20))))
    assert api.watches - before == 1
