"""Tests of a prompt part that crashes each engine that begins an answer on it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from time import monotonic

from gypsumsail.gateway.part_suspects import MIN_CRASHES
from soak.callers import CallResult, call
from soak.const import API_KEY
from soak.run import Soak

CRASHING_PART = "bad"
BAD_CALLS_PER_SECOND = 3.0
FIRST_BAD_CALL_SECONDS = 2.0
SECONDS = 16.0
# Time after the fifth crash from which the calls with the part are counted.
CONTACT_SECONDS = 3.0
LAST_CRASH = 5
MAX_LATE_ARRIVALS = 3
SECONDS_UNTIL_BLOCKED = 10.0
# Time after the start of the VMs from which no call with the part may be sent.
READ_SECONDS = 1.0
MIN_SERVED_SHARE = 0.5


class CrashingPartRun(Soak):
    """Calls without other faults, while new requests with one part come at any VM.

    Attributes
    ----------
    bad_results
        Results of the calls with the part.
    ready_at
        Time at which all VMs were ready after they were killed.
    """

    ready_at = 0.0

    def __init__(self, seed: int, vms: int, seconds: float) -> None:
        super().__init__(seed, vms, seconds)
        self.bad_results: list[CallResult] = []
        for target in self.targets:
            target.crashing_parts.add(CRASHING_PART)

    async def async_run_with_crashing_part(self) -> None:
        """Send calls, and from some time on also calls with the part."""
        try:
            await self._start()
            load = asyncio.create_task(self._send_load(self.seconds))
            await asyncio.sleep(FIRST_BAD_CALL_SECONDS)
            bad = asyncio.create_task(self._async_send_bad_calls())
            await load
            await bad
        finally:
            await self._stop()

    async def async_run_with_kill_of_all(self) -> None:
        """Kill all VMs at once while calls with the part come."""
        try:
            await self._start()
            bad = asyncio.create_task(self._async_send_bad_calls())
            await asyncio.sleep(SECONDS_UNTIL_BLOCKED)
            await asyncio.gather(*(vm.async_kill() for vm in self.vms))
            await asyncio.gather(*(vm.async_start() for vm in self.vms))
            await asyncio.gather(*(self._wait_until_ready(vm) for vm in self.vms))
            self.ready_at = monotonic()
            await bad
        finally:
            await self._stop()

    async def _async_send_bad_calls(self) -> None:
        end = asyncio.get_running_loop().time() + self.seconds - FIRST_BAD_CALL_SECONDS
        calls = []
        while asyncio.get_running_loop().time() < end:
            calls.append(asyncio.create_task(self._async_send_bad_call()))
            await asyncio.sleep(self.random.expovariate(BAD_CALLS_PER_SECOND))
        self.bad_results += await asyncio.gather(*calls)

    async def _async_send_bad_call(self) -> CallResult:
        vm = self.random.choice(self.vms)
        number = self.next_number(vm)
        return await call(
            vm.host, vm.front_port, "stream", number, API_KEY, part=CRASHING_PART
        )

    def crashes(self) -> list[float]:
        """Return the times of all crashes."""
        return sorted(at for target in self.targets for at in target.crashes)

    def bad_arrivals(self) -> Iterable[float]:
        """Return the times at which calls with the part reached engines."""
        return (at for target in self.targets for at in target.crashing_arrivals)


async def test_crashing_part_reaches_few_engines_after_the_fifth_crash() -> None:
    """No two of these requests are alike, and sound ones share their other parts."""
    run = CrashingPartRun(11, vms=5, seconds=SECONDS)
    await run.async_run_with_crashing_part()
    crashes = run.crashes()
    assert crashes
    counted_from = crashes[min(LAST_CRASH, len(crashes)) - 1] + CONTACT_SECONDS
    late = [at for at in run.bad_arrivals() if at > counted_from]
    assert len(late) <= MAX_LATE_ARRIVALS
    refused = [result for result in run.bad_results if result.status == 503]
    executions = run.execution_log.executions
    assert not [result for result in refused if result.request_id in executions]
    # Before the part is known, calls may be refused while all engines are down.
    blocked = [result for result in refused if result.began_at > counted_from]
    assert blocked
    assert all("retry-after" not in result.headers for result in blocked)
    streams = [result for result in run.results if result.kind == "stream"]
    served = [result for result in streams if result.status == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(streams)


async def test_part_stays_blocked_when_all_vms_are_killed_at_once() -> None:
    run = CrashingPartRun(12, vms=5, seconds=SECONDS + FIRST_BAD_CALL_SECONDS)
    await run.async_run_with_kill_of_all()
    assert len(run.crashes()) >= MIN_CRASHES
    counted_from = run.ready_at + READ_SECONDS
    assert not [at for at in run.bad_arrivals() if at > counted_from]
    assert run.bad_results[-1].status == 503
