"""Tests of at-most-once execution against the platform stand-in, with faults."""

from __future__ import annotations

import asyncio
from collections import Counter

import httpx
import pytest

from bench.processes import Launcher
from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import (
    DuplicateRequestError,
    ReservationUnavailableError,
    RunState,
)
from gypsumsail.object_api.http import HttpPlatform
from gypsumsail.once.coordinator import AtMostOnceCoordinator
from gypsumsail.once.models import may_send
from tests.stand_ins.common import set_fault

from .common import FakeFleet, at_most_once_request, coordinator

KEYS = tuple(f"k{number}" for number in range(24))
NAMES = ("entry-1", "entry-2", "entry-3")
MAX_ATTEMPTS = 60
PAUSE_SECONDS = 0.5
FAULT_SETTINGS = {"lose_answers": {"share": 0.5, "seed": 3}}


class Callers:
    """Callers that send each request to all entries until one was granted."""

    def __init__(self, entries: list[AtMostOnceCoordinator]) -> None:
        self.entries = entries
        self.granted: Counter[str] = Counter()
        self.refused: set[RunState] = set()

    async def async_try(self, entry: AtMostOnceCoordinator, key: str) -> None:
        now = entry.ledger.clock.monotonic()
        try:
            reservation = await entry.async_reserve(at_most_once_request(key), now)
        except DuplicateRequestError:
            return
        except ReservationUnavailableError as err:
            self.refused.add(err.run_state)
            return
        assert may_send(reservation, entry.ledger.clock.monotonic())
        entry.sent(reservation)
        self.granted[key] += 1

    async def async_round(self, keys: list[str]) -> None:
        calls = [self.async_try(entry, key) for key in keys for entry in self.entries]
        await asyncio.gather(*calls)

    async def async_until_all_ran(self, keys: list[str]) -> None:
        for _ in range(MAX_ATTEMPTS):
            await self.async_round(keys)
            if all(self.granted[key] for key in keys):
                return
            await asyncio.sleep(PAUSE_SECONDS)


@pytest.mark.parametrize("fault", ["lose_answers", "stale_reads", "outage"])
async def test_each_request_runs_once_through_a_fault(
    fault: str, launcher: Launcher, client: httpx.AsyncClient
) -> None:
    process = await launcher.start_module("p", "stand_ins.platform")
    platform = HttpPlatform(process.url)
    fleet, clock = FakeFleet(), SystemClock()
    entries = [coordinator(platform, fleet, clock, name) for name in NAMES]
    for entry in entries:
        await entry.async_setup()
    callers = Callers(entries)
    before, during = [f"{key}-before" for key in KEYS], [f"{key}-in" for key in KEYS]
    await callers.async_until_all_ran(before)
    await set_fault(client, process, fault, **FAULT_SETTINGS.get(fault, {}))
    await callers.async_round([*before, *during])
    await set_fault(client, process, fault, on=False)
    await callers.async_until_all_ran(during)
    await callers.async_round([*before, *during])
    assert callers.refused <= {RunState.NOT_RUN}
    assert callers.granted == dict.fromkeys([*before, *during], 1)
    for entry in entries:
        await entry.async_unload()
    await platform.async_close()
