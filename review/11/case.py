"""One entry of another writer keeps VMs that start from learning any engine.

The entry is within the size of an object. A field is of another type: a long text in
place of a list.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from harness_3 import (
    CannotRunError,
    Fleet,
    PlainEngine,
    Record,
    async_request,
    configuration,
    has_trouble,
    now_ms,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
ENGINES = 3
REQUESTS = 20
DEADLINE_MS = 2000
DOWN_SECONDS = 1.0
RECOVER_SECONDS = 12.0
PAUSE_SECONDS = 0.1
TEXT = "0," * 510_000
VALUE_BYTES = 1_048_576
"""Most bytes of an object, by the settings and the page of the store."""


async def async_send(fleet: Fleet, first: int) -> int:
    """Send requests to all VMs in turn; return how many were served."""
    tasks = []
    for number in range(first, first + REQUESTS):
        vm = fleet.vms[number % len(fleet.vms)]
        tasks.append(
            asyncio.create_task(
                async_request(vm, "GET", "/status/a", f"{number:016x}", DEADLINE_MS)
            )
        )
        await asyncio.sleep(PAUSE_SECONDS)
    answers = [await task for task in tasks]
    statuses = [answer.status for answer in answers]
    fleet.record.add(f"client: {REQUESTS} requests were answered {statuses}")
    return sum(status == 200 for status in statuses)


async def async_write_foreign_entry(fleet: Fleet) -> None:
    """Write an entry of another writer, which names no engine."""
    spec = {
        "service": "portal",
        "addr": "127.0.0.1:1",
        "zone": "z1",
        "state": "ready",
        "born": now_ms(),
        "models": TEXT,
    }
    stored = await fleet.store.put("servers", "i-other-writer", spec)
    size = len(json.dumps(stored))
    if size > VALUE_BYTES:
        raise CannotRunError(f"the entry has {size} bytes")
    fleet.record.add(f"trouble: another writer's entry of {size} bytes is written")


async def async_play(record: Record) -> None:
    """Play the case."""
    fleet = Fleet(record, vms=2)
    await fleet.async_start_store()
    engines = [
        PlainEngine(f"i-portal-{number}", "portal", fleet) for number in range(ENGINES)
    ]
    try:
        for engine in engines:
            await engine.async_start()
        routes = [route("status", "safe", "portal", attempts=2, timeout_ms=2000)]
        await fleet.store.put("config", "main", configuration(1, routes, ["portal"]))
        await fleet.async_start_vms()
        await asyncio.sleep(2.0)
        before = await async_send(fleet, 0)
        if 4 * before < REQUESTS:
            raise CannotRunError("requests failed before the disruption")
        if has_trouble():
            await async_write_foreign_entry(fleet)
            await asyncio.sleep(1.0)
        for vm in fleet.vms:
            await vm.async_kill()
        record.add("final fault: all VMs are killed")
        await asyncio.sleep(DOWN_SECONDS)
        for vm in fleet.vms:
            await vm.async_start()
        record.add("the VMs start again")
        await asyncio.sleep(RECOVER_SECONDS + 1.0)
        for vm in fleet.vms:
            record.add(f"{vm.name} is ready: {await vm.async_is_ready()}")
        after = await async_send(fleet, 1000)
        record.add(f"{before} of {REQUESTS} served before, {after} after")
        if 4 * after < REQUESTS:
            record.find(
                f"RECOVER: {after} of {REQUESTS} requests sent later than"
                f" {RECOVER_SECONDS:g} s after the VMs were back are served"
            )
            record.add(f"last log of {fleet.vms[0].name}: {fleet.vms[0].log_tail(3)}")
    finally:
        await fleet.async_stop()
        for engine in engines:
            await engine.async_stop()


if __name__ == "__main__":
    run_case(FOLDER, async_play)
