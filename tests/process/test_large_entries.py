"""Tests of VMs that list or watch large entries of another writer."""

from __future__ import annotations

import asyncio

import pytest

from soak.callers import call
from soak.const import API_KEY
from soak.run import Soak
from stand_ins.v1_platform import Target

CALLS = 20
SETTLE_SECONDS = 2.0
LARGE_FIELDS = {
    "one with countless commas": ["0," * 510_000],
    "several with many commas": ["0," * 60_000] * 12,
}


async def async_replace_plain_targets(run: Soak) -> None:
    """End all plain targets, and list as many new ones."""
    for target in [found for found in run.targets if not found.is_engine]:
        await run.store.delete("servers", target.name)
        await target.async_stop()
        run.targets.remove(target)
        name = run.new_name("p")
        new = Target(name, run.store, run.execution_log, "plain")
        await run.async_add_target(new)


async def async_served(run: Soak) -> int:
    """Return how many of some calls to plain targets are served."""
    before = len(run.results)
    for number in range(CALLS):
        vm = run.vms[number % len(run.vms)]
        call_number = run.next_number(vm)
        run.record_kind(call_number, "safe")
        run.results.append(
            await call(vm.host, vm.front_port, "safe", call_number, API_KEY)
        )
    return sum(result.status == 200 for result in run.results[before:])


@pytest.mark.parametrize("fields", LARGE_FIELDS.values(), ids=LARGE_FIELDS.keys())
async def test_large_entries_hide_no_target(fields: list[str]) -> None:
    """RECOVER (review/11): VMs beside such entries knew no target that was new."""
    run = Soak(1, vms=2, seconds=0.0)
    try:
        await run._start()
        for number, models in enumerate(fields):
            spec = {"service": "plain", "addr": "127.0.0.1:1", "models": models}
            await run.store.put("servers", f"a{number}", spec)
        await async_replace_plain_targets(run)
        await asyncio.sleep(SETTLE_SECONDS)
        by_running_vms = await async_served(run)
        for vm in run.vms:
            await vm.async_kill()
            await vm.async_start()
        await asyncio.gather(*(run._wait_until_ready(vm) for vm in run.vms))
        by_started_vms = await async_served(run)
    finally:
        await run._stop()
    assert (by_running_vms, by_started_vms) == (CALLS, CALLS)
