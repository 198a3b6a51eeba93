"""Tests of what is known of builds after all VMs have ended."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.vm.build_history import MAX_KEPT_BUILDS
from gypsumsail.vm.kept_state import MIN_WRITE_INTERVAL_SECONDS
from tests.common import ManualClock
from tests.vm.common import RETURN_SECONDS, HistoryStore, KeepingVm

OBSERVED_SECONDS = RETURN_SECONDS + 1.0


async def fleet_of_one(api: HistoryStore, clock: ManualClock) -> KeepingVm:
    """Return a VM that has observed and kept the builds of the targets."""
    vm = KeepingVm(api, "v1", clock)
    await vm.async_start()
    await vm.async_observe(OBSERVED_SECONDS)
    await vm.kept_state.async_write_if_due()
    return vm


async def started(api: HistoryStore, clock: ManualClock, vm: str = "v2") -> KeepingVm:
    """Return a VM that starts after all others have ended."""
    found = KeepingVm(api, vm, clock)
    await found.async_start()
    await found.async_observe(1.0)
    return found


async def test_only_build_is_known_at_once_after_all_vms_have_ended() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    assert (await started(api, clock)).only_build() == "v1"


async def test_without_what_was_kept_nothing_is_known() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    assert (await started(api, clock)).only_build() is None


async def test_build_that_came_and_went_while_no_vm_ran_counts() -> None:
    """Also if it came just before the end, so that no VM has kept it."""
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    api.add_target("e2", "v2")
    api.remove_target("e2")
    assert (await started(api, clock)).only_build() is None


async def test_build_whose_targets_have_left_counts_for_as_long_as_its_streams() -> (
    None
):
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    api.add_target("e2", "v2")
    api.remove_target("e1")
    vm = await started(api, clock)
    assert vm.only_build() is None
    await vm.async_observe(RETURN_SECONDS)
    assert vm.only_build() == "v2"


async def test_without_the_whole_history_nothing_is_known() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    api.add_target("e2", "v2")
    api.remove_target("e2")
    api.compact()
    assert (await started(api, clock)).only_build() is None


async def test_history_is_not_needed_where_nothing_has_changed() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    api.compact()
    assert (await started(api, clock)).only_build() == "v1"


async def test_what_was_kept_before_a_restore_is_not_used() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    vm = KeepingVm(api, "v2", clock)
    vm.eras.observe(2, clock.now)
    await vm.async_start()
    await vm.async_observe(1.0)
    assert vm.only_build() is None


async def test_vm_without_a_document_infers_nothing_from_what_was_kept() -> None:
    """It doesn't know for how long streams are taken up."""
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    vm = KeepingVm(api, "v2", clock)
    await vm.kept_state.async_read()
    inherit = vm.kept_state.build_history.async_inherit(vm.kept_state.kept_builds, 0)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await inherit
    assert vm.only_build() is None


async def test_longer_timeouts_of_a_new_document_need_more_observation() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    await fleet_of_one(api, clock)
    vm = await started(api, clock)
    vm.builds.note_return(2 * RETURN_SECONDS)
    assert vm.only_build() is None


async def test_build_that_is_gone_by_the_next_look_is_kept() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    vm = KeepingVm(api, "v1", clock)
    await vm.async_start()
    await vm.async_observe(OBSERVED_SECONDS)
    api.add_target("e2", "v2")
    api.remove_target("e2")
    await vm.async_observe(1.0)
    await vm.kept_state.async_write_if_due()
    api.compact()
    assert (await started(api, clock)).only_build() is None


async def test_vm_that_has_missed_builds_keeps_none() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    vm = KeepingVm(api, "v1", clock)
    await vm.async_start()
    await vm.async_observe(RETURN_SECONDS - 1.0)
    await vm.kept_state.async_write_if_due()
    assert api.writes == 0


async def test_vm_whose_view_is_old_keeps_no_builds() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    vm = KeepingVm(api, "v1", clock)
    vm.kept_state.build_history.is_view_current = lambda now: False
    await vm.async_start()
    await vm.async_observe(OBSERVED_SECONDS)
    await vm.kept_state.async_write_if_due()
    assert api.writes == 0


async def test_deadline_of_a_caller_outlives_the_vms() -> None:
    """The document's timeouts are shorter than the caller's deadline was."""
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    vm = KeepingVm(api, "v1", clock)
    await vm.async_start()
    vm.builds.note_return(2 * RETURN_SECONDS)
    await vm.async_observe(2 * OBSERVED_SECONDS)
    await vm.kept_state.async_write_if_due()
    api.add_target("e2", "v2")
    api.remove_target("e1")
    restarted = await started(api, clock)
    await restarted.async_observe(OBSERVED_SECONDS)
    assert restarted.only_build() is None
    await restarted.async_observe(OBSERVED_SECONDS)
    assert restarted.only_build() == "v2"


async def test_quiet_time_needs_one_write_and_a_busy_one_a_few() -> None:
    api, clock = HistoryStore(), ManualClock()
    api.add_target("e1", "v1")
    vm = await fleet_of_one(api, clock)
    for _ in range(60):
        await vm.async_observe(1.0)
        await vm.kept_state.async_write_if_due()
    assert api.writes == 1
    for _ in range(60):
        api.write("other/key", b"")
        await vm.async_observe(1.0)
        await vm.kept_state.async_write_if_due()
    assert 1 < api.writes <= 2 + 60.0 / MIN_WRITE_INTERVAL_SECONDS


async def test_many_builds_are_not_kept() -> None:
    api, clock = HistoryStore(), ManualClock()
    for number in range(MAX_KEPT_BUILDS + 1):
        api.add_target(f"e{number}", f"v{number}")
    await fleet_of_one(api, clock)
    assert api.writes == 0


async def test_one_watcher_of_the_fleet_keeps_builds() -> None:
    """Whatever the names, as long as it is a VM that reads the targets itself."""
    for fleet in range(10):
        names = [f"v{number}" for number in range(10 * fleet + 1, 10 * fleet + 11)]
        api, clock = HistoryStore(), ManualClock()
        api.add_target("e1", "v1")
        vms = [
            KeepingVm(api, name, clock, zone=f"z{max(index - 7, 0)}")
            for index, name in enumerate(names)
        ]
        for vm in vms:
            await vm.async_start()
            vm.watch_like_a_vm_of_a_fleet()
            vm.builds.observed_since = clock.now - OBSERVED_SECONDS
        for vm in vms:
            vm.hear(vms)
            await vm.kept_state.async_write_if_due()
        assert api.writes == 1
