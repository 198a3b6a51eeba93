"""Tests of faults that operators of similar systems have reported."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import signal

from soak.callers import (
    CallResult,
    KeptCaller,
    call,
    expected_body,
    pick_kind,
    split_writers,
)
from soak.const import API_KEY, REVOKED_API_KEY
from soak.run import Soak
from soak.vms import Vm
from tests.process.test_restored_store import log_lines

CALLERS_PER_VM = 4
# Timeout of the routes, and the time in which a final answer follows it.
ROUTE_TIMEOUT_SECONDS = 3.0
FINAL_ANSWER_SECONDS = 0.5
REVOKED_CALLS = 30
# Time for a start on a busy machine, and for the calls above.
MAX_RECOVERY_SECONDS = 20.0
MAX_ROLLOUT_SECONDS = 30.0
FREEZE_SECONDS = 8.0


class KeptConnectionsRun(Soak):
    """Callers that use open connections, without the random load and its faults."""

    async def async_run_with(
        self, change: Callable[[], Awaitable[None]]
    ) -> list[CallResult]:
        """Let callers send calls while a change happens; return the results."""
        try:
            await self._start()
            end = asyncio.get_running_loop().time() + self.seconds
            callers = [
                asyncio.create_task(self._async_send_until(vm, end))
                for vm in self.vms
                for _ in range(CALLERS_PER_VM)
            ]
            await change()
            await asyncio.gather(*callers)
        finally:
            await self._stop()
        return self.results

    async def _async_send_until(self, vm: Vm, end: float) -> None:
        caller = KeptCaller(vm.host, vm.front_port)
        while asyncio.get_running_loop().time() < end:
            if caller.writer is None and vm.last_signal is signal.SIGTERM:
                break
            self.call_number += 1
            self.results.append(
                await caller.async_call(
                    pick_kind(self.random), self.call_number, API_KEY
                )
            )
        caller.close()


async def test_late_second_answer_reaches_no_other_caller() -> None:
    """The connection is often in use again when the second answer arrives."""
    run = KeptConnectionsRun(1, vms=2, seconds=6.0)
    for target in run.targets:
        target.fault = "late double"
    results = await run.async_run_with(lambda: asyncio.sleep(0))
    assert not run._complete_report().findings
    assert len(results) > 100
    assert {result.status for result in results} == {200}


async def test_earlier_refusal_written_once_more_makes_no_false_not_run() -> None:
    """It bears no id, and comes before the answer to each later call."""
    run = KeptConnectionsRun(9, vms=2, seconds=6.0)
    for target in run.targets:
        target.fault = "refused again"
    results = await run.async_run_with(lambda: asyncio.sleep(0))
    assert not run._complete_report().findings
    assert len(results) > 100
    assert {result.status for result in results} <= {200, 503}
    served = [result for result in results if result.status == 200]
    assert len(served) > 0.8 * len(results)


async def test_error_of_the_next_target_is_not_found_in_a_broken_stream() -> None:
    """All streams break off; their next engine often answers with an error."""
    run = KeptConnectionsRun(10, vms=2, seconds=6.0)
    for target in run.targets:
        if target.is_engine:
            target.fault = "cut and error"
    results = await run.async_run_with(lambda: asyncio.sleep(0))
    assert not run._complete_report().findings
    streams = [result for result in results if result.kind == "stream"]
    assert any(result.status == 200 for result in streams)
    broken = [result for result in streams if result.status == 0]
    assert broken
    for result in broken:
        number = int(result.request_id, 16)
        whole = expected_body("stream", result.request_id, number)
        assert whole.startswith(split_writers(result.body)[0])
        assert result.body.endswith(b"\n\n")


async def test_planned_stop_under_load_cuts_off_no_call() -> None:
    """Callers send on open connections until the stopping VM closes them."""
    run = KeptConnectionsRun(2, vms=3, seconds=9.0)

    async def stop_two_vms() -> None:
        await asyncio.sleep(1.5)
        for vm in run.vms[:2]:
            vm.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.7)

    results = await run.async_run_with(stop_two_vms)
    assert not run._complete_report().findings
    assert len(results) > 200
    assert {result.status for result in results} == {200}


async def test_slow_streams_are_completed() -> None:
    """Their events come at long intervals, but the whole stream in time."""
    run = KeptConnectionsRun(3, vms=2, seconds=6.0)
    for target in run.targets:
        if target.is_engine:
            target.fault = "slow"
    results = await run.async_run_with(lambda: asyncio.sleep(0))
    assert not run._complete_report().findings
    assert {result.status for result in results} == {200}
    assert any(result.seconds > 2.0 for result in results if result.kind == "stream")


async def test_stalled_streams_end_at_the_timeout_of_their_route() -> None:
    """The engine sends a byte from time to time, and never a whole event."""
    run = KeptConnectionsRun(4, vms=2, seconds=6.0)
    for target in run.targets:
        if target.is_engine:
            target.fault = "drip"
    results = await run.async_run_with(lambda: asyncio.sleep(0))
    assert not run._complete_report().findings
    streams = [result for result in results if result.kind == "stream"]
    assert streams
    assert all(result.status != 200 for result in streams)
    longest = max(result.seconds for result in streams)
    assert longest <= ROUTE_TIMEOUT_SECONDS + FINAL_ANSWER_SECONDS


async def test_slow_target_keeps_the_calls_that_run_there() -> None:
    """It accepts connections, so its calls are not started at another target."""
    run = KeptConnectionsRun(5, vms=2, seconds=6.0)
    for target in run.targets:
        if not target.is_engine:
            target.fault = "slow"
    results = await run.async_run_with(lambda: asyncio.sleep(0))
    assert not run._complete_report().findings
    assert {result.status for result in results} == {200}
    executions = run.execution_log.executions
    assert all(len(executions[result.request_id]) == 1 for result in results)


async def test_calls_of_a_frozen_vm_run_once_and_are_answered() -> None:
    run = KeptConnectionsRun(6, vms=2, seconds=7.0)

    async def freeze_one_vm() -> None:
        await asyncio.sleep(1.5)
        for _ in range(3):
            run.vms[0].send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.0)
            run.vms[0].send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)

    results = await run.async_run_with(freeze_one_vm)
    assert not run._complete_report().findings
    assert {result.status for result in results} == {200}
    executions = run.execution_log.executions
    assert all(len(executions[result.request_id]) == 1 for result in results)


async def test_vm_that_restarts_without_the_store_uses_nothing_withdrawn() -> None:
    """A key is revoked and a target removed before the VM restarts."""
    run = KeptConnectionsRun(7, vms=3, seconds=9.0)
    removed = run.targets[0]
    statuses: list[int] = []

    async def restart_without_store() -> None:
        vm = run.vms[0]
        await asyncio.sleep(1.0)
        run.document_version += 1
        await run.async_put_document([API_KEY])
        await run.store.delete("servers", removed.name)
        await asyncio.sleep(2.0)
        run.store.fault = "silent"
        removed.arrivals.clear()
        await vm.async_kill()
        await vm.async_start()
        async with asyncio.timeout(MAX_RECOVERY_SECONDS):
            while statuses.count(401) < REVOKED_CALLS:
                number = 9_000_000 + len(statuses)
                result = await call(
                    vm.host, vm.front_port, "safe", number, REVOKED_API_KEY
                )
                statuses.append(result.status)
                await asyncio.sleep(0.1)

    await run.async_run_with(restart_without_store)
    assert not run._complete_report().findings
    # The VM first starts, and then knows no document until another VM tells it.
    known_at = statuses.index(401)
    assert set(statuses[:known_at]) <= {0, 503}
    assert set(statuses[known_at:]) == {401}
    assert not removed.arrivals


async def test_orders_go_out_once_around_a_frozen_lease_holder() -> None:
    """Its successor takes over; the frozen holder then acts on no old lease."""
    run = KeptConnectionsRun(8, vms=3, seconds=1.0)
    engines = [target for target in run.targets if target.is_engine]

    async def freeze_holder() -> None:
        run.weight_version = 2
        await run.store.put("versions", "m0", {"model": "m0", "version": 2})
        async with asyncio.timeout(MAX_ROLLOUT_SECONDS):
            holder = await find_lease_holder(run)
            holder.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_SECONDS)
            holder.send_signal(signal.SIGCONT)
            while any(engine.version < 2 for engine in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    await run.async_run_with(freeze_holder)
    assert [engine.order_count for engine in engines] == [1] * len(engines)
    held = log_lines([str(vm.log) for vm in run.vms], "orders lease")
    assert len({line["vm"] for line in held if line["held"]}) >= 2


async def find_lease_holder(run: Soak) -> Vm:
    """Wait until a VM logs that it holds the lease, and return the VM."""
    while True:
        lines = log_lines([str(vm.log) for vm in run.vms], "orders lease")
        held = [line["vm"] for line in lines if line["held"]]
        if held:
            return next(vm for vm in run.vms if vm.name == held[0])
        await asyncio.sleep(0.02)
