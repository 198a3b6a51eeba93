"""Tests of streams while engines restart under their names with another build."""

from __future__ import annotations

import asyncio
from itertools import cycle
import random

import pytest

from soak.run import Soak
from soak.streams import FIRST_BUILD, async_take_stream

SECONDS = 11.0
CALLERS = 16
CALM_SECONDS = 3.0
RESTART_SECONDS = 0.6
MIN_STREAMS = 60
MIN_DISTURBED = 12


class ReleasedEnginesRun(Soak):
    """Engines that restart one after the other, each time with the next build.

    Attributes
    ----------
    entry_delay
        Seconds from the restart of an engine until its entry is written.
    """

    takes_up_streams = True

    def __init__(self, seed: int, entry_delay: float, *, is_unframed: bool) -> None:
        super().__init__(seed, vms=5, seconds=SECONDS)
        self.entry_delay = entry_delay
        self.engines = [target for target in self.targets if target.is_engine]
        for engine in self.engines:
            engine.fault = "slow"
            engine.is_unframed = is_unframed

    async def async_run_release(self) -> list[str]:
        """Send and take up streams during the release; return the findings."""
        try:
            await self._start()
            end = asyncio.get_running_loop().time() + self.seconds
            await asyncio.gather(
                self._async_restart_engines(end),
                *(self._async_call(number, end) for number in range(CALLERS)),
            )
        finally:
            await self._stop()
        return [found for stream in self.streams for found in stream.findings()]

    async def _async_restart_engines(self, end: float) -> None:
        await asyncio.sleep(CALM_SECONDS)
        for number, engine in enumerate(cycle(self.engines)):
            if asyncio.get_running_loop().time() > end:
                return
            build = int(FIRST_BUILD[1:]) + 1 + number // len(self.engines)
            engine.build = f"v{build}"
            engine.restart(closes=number % 2 == 0)
            await asyncio.sleep(self.entry_delay)
            await engine.register(engine.registered_address)
            await asyncio.sleep(RESTART_SECONDS - self.entry_delay)

    async def _async_call(self, number: int, end: float) -> None:
        rng = random.Random(f"{number} {self.report.seed}")
        while asyncio.get_running_loop().time() < end:
            self.streams.append(await async_take_stream(self, rng))

    def disturbed_streams(self) -> int:
        """Return the number of streams that lost their engine before their end."""
        return sum(
            len(stream.writers()) > 1 or stream.tries[0].status != 200
            for stream in self.streams
        )


@pytest.mark.parametrize(
    ("seed", "entry_delay", "is_unframed"),
    [(41, 0.0, False), (42, 0.3, False), (43, 0.3, True)],
)
async def test_no_stream_is_joined_or_ended_early_by_a_restart_of_its_engine(
    seed: int, entry_delay: float, is_unframed: bool
) -> None:
    """ORDER: a VM went by the build that an entry named of an earlier life."""
    run = ReleasedEnginesRun(seed, entry_delay, is_unframed=is_unframed)
    findings = await run.async_run_release()
    assert len(run.streams) >= MIN_STREAMS
    assert run.disturbed_streams() >= MIN_DISTURBED
    assert findings == []
