"""Tests of a prompt part that crashes each engine that begins an answer on it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

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
MIN_SERVED_SHARE = 0.5


class CrashingPartRun(Soak):
    """Calls without other faults, while new requests with one part come at any VM.

    Attributes
    ----------
    bad_results
        Results of the calls with the part.
    """

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

    async def _async_send_bad_calls(self) -> None:
        end = asyncio.get_running_loop().time() + self.seconds - FIRST_BAD_CALL_SECONDS
        calls = []
        while asyncio.get_running_loop().time() < end:
            calls.append(asyncio.create_task(self._async_send_bad_call()))
            await asyncio.sleep(self.random.expovariate(BAD_CALLS_PER_SECOND))
        self.bad_results += await asyncio.gather(*calls)

    async def _async_send_bad_call(self) -> CallResult:
        vm = self.random.choice(self.vms)
        number = self._next_number(vm)
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
    assert refused
    assert all("retry-after" not in result.headers for result in refused)
    streams = [result for result in run.results if result.kind == "stream"]
    served = [result for result in streams if result.status == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(streams)
