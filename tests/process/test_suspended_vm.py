"""Tests of a VM that was suspended while a document came into force."""

from __future__ import annotations

import asyncio
import signal

from soak.callers import CallResult, call
from soak.isolation import customer_entries, key_of
from soak.run import Soak

SUSPENDED_SECONDS = 3.0
CALLS = 12
"""Calls of each customer, so that some of them meet at an engine."""


async def async_call_all(run: Soak, customer: str) -> list[CallResult]:
    """Send streams of a customer, whose prompts have parts in common, at once."""
    (vm,) = run.vms
    numbers = [run.next_number(vm) for _ in range(CALLS)]
    for number in numbers:
        run.record_kind(number, "stream")
    return await asyncio.gather(
        *(
            call(vm.host, vm.front_port, "stream", number, key_of(customer), part="p")
            for number in numbers
        )
    )


async def test_suspended_vm_shares_no_context_of_an_isolated_customer() -> None:
    """WALL: the calls that waited for its end went by the document before it."""
    run = Soak(1, vms=1, seconds=0.0)
    run.changes_isolation = True
    try:
        await run._start()
        before = await async_call_all(run, "b")
        (vm,) = run.vms
        vm.send_signal(signal.SIGSTOP)
        run.other_customers = customer_entries(frozenset("b"), run.isolation_random)
        await run.async_put_next_document()
        await asyncio.sleep(SUSPENDED_SECONDS)
        waiting = asyncio.create_task(async_call_all(run, "c"))
        await asyncio.sleep(0.2)
        vm.send_signal(signal.SIGCONT)
        after = await waiting
    finally:
        await run._stop()
    assert {result.status for result in (*before, *after)} == {200}
    uses = run.execution_log.part_uses
    assert not [use for use in uses if use.customer == "c" and use.maker == "b"]
