"""Compares strategies to run requests at most once: platform calls and latency.

Run with ``python -m bench.once``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
import json
import random
import time
from typing import Final, Protocol

import click

from gypsumsail.core.clock import SystemClock
from gypsumsail.core.errors import RunState
from gypsumsail.core.ids import new_id
from gypsumsail.once.coordinator import AtMostOnceCoordinator
from gypsumsail.once.keys import key_digest
from gypsumsail.once.models import Outcome
from tests.common import EventLog
from tests.once.common import (
    FakeFleet,
    FakeObjectApi,
    at_most_once_request,
    entry_id,
)

ENTRIES: Final = 7
PLATFORM_LATENCY_SECONDS: Final = 0.005
PEER_LATENCY_SECONDS: Final = 0.001
RATES_PER_SECOND: Final = (5, 50, 500)
RAN: Final = Outcome(run_state=RunState.RAN, status=200)


class Strategy(Protocol):
    """A strategy to run requests at most once."""

    name: str

    async def async_setup(self) -> None:
        """Start."""

    async def async_unload(self) -> None:
        """Write pending records and stop."""

    async def async_run(self, entry: int, key: str) -> float:
        """Reserve, send and end a request; return the latency of the reservation."""


class ConditionalCreateStrategy:
    """Creates an object per request before sending; updates and deletes it later."""

    name = "conditional create"

    def __init__(self, api: FakeObjectApi) -> None:
        self.api = api
        self.keys: list[str] = []

    async def async_setup(self) -> None:
        """Start."""

    async def async_unload(self) -> None:
        """Delete the objects, as at the end of their retention."""
        for key in self.keys:
            await self.api.async_delete(key, if_version=2)

    async def async_run(self, entry: int, key: str) -> float:
        """Create the request's object, then update it with the outcome."""
        started = time.perf_counter()
        name = f"once/{key_digest('armor-claims', 'letters', key).hex()}"
        await self.api.async_put(name, b"reserved", if_version=0)
        seconds = time.perf_counter() - started
        await self.api.async_put(name, b"ended", if_version=1)
        self.keys.append(name)
        return seconds


class IssuedKeyStrategy:
    """Lets an entry run only requests whose key it has issued since it started."""

    name = "issued keys"

    def __init__(self, api: FakeObjectApi) -> None:
        self.api = api
        self.used: list[set[str]] = [set() for _ in range(ENTRIES)]
        self.issuer = random.Random(5)

    async def async_setup(self) -> None:
        """Create an object for each incarnation."""
        for entry in range(ENTRIES):
            await self.api.async_put(f"incarnation/{entry}", b"", if_version=0)

    async def async_unload(self) -> None:
        """Stop."""

    async def async_run(self, entry: int, key: str) -> float:
        """Simulate the fetch of a key from a random entry and the forwarding to it."""
        started = time.perf_counter()
        issuer = self.issuer.randrange(ENTRIES)
        await asyncio.sleep(PEER_LATENCY_SECONDS)
        if issuer != entry:
            await asyncio.sleep(PEER_LATENCY_SECONDS)
        self.used[issuer].add(f"{issuer}/{key}/{new_id()}")
        return time.perf_counter() - started


class LedgerStrategy:
    """Uses the ledger of gypsumsail, which commits reservations in groups."""

    name = "ledger"

    def __init__(self, api: FakeObjectApi) -> None:
        fleet = FakeFleet(latency=PEER_LATENCY_SECONDS)
        clock = SystemClock()
        self.entries = [
            AtMostOnceCoordinator(
                api,
                fleet.join(entry_id(f"entry-{number}")),
                EventLog(),
                clock,
                entry_id(f"entry-{number}"),
                rng=random.Random(number),
            )
            for number in range(ENTRIES)
        ]

    async def async_setup(self) -> None:
        """Start the coordinators."""
        for entry in self.entries:
            await entry.async_setup()

    async def async_unload(self) -> None:
        """Write pending outcomes and stop the coordinators."""
        for entry in self.entries:
            await entry.async_unload()

    async def async_run(self, entry: int, key: str) -> float:
        """Reserve through the ledger."""
        started = time.perf_counter()
        coordinator = self.entries[entry]
        now = SystemClock().monotonic()
        reservation = await coordinator.async_reserve(at_most_once_request(key), now)
        seconds = time.perf_counter() - started
        coordinator.sent(reservation)
        coordinator.ended(reservation, RAN, now)
        return seconds


STRATEGIES: Final[tuple[Callable[[FakeObjectApi], Strategy], ...]] = (
    ConditionalCreateStrategy,
    IssuedKeyStrategy,
    LedgerStrategy,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Measurements of one strategy at one rate of unrepeatable requests.

    Attributes
    ----------
    way
        Name of the strategy.
    rate
        Requests per second.
    """

    way: str
    rate: int
    requests: int
    writes_per_request: float
    reads_per_request: float
    reserve_p50_ms: float
    reserve_p99_ms: float


async def async_measure(
    create_strategy: Callable[[FakeObjectApi], Strategy],
    rate: int,
    seconds: float,
    seed: int,
) -> Result:
    """Send requests to random entries at an average rate and measure them."""
    api = FakeObjectApi(latency=PLATFORM_LATENCY_SECONDS)
    strategy = create_strategy(api)
    rng = random.Random(seed)
    await strategy.async_setup()
    calls: list[Awaitable[float]] = []
    loop = asyncio.get_running_loop()
    send_at = loop.time()
    for number in range(int(rate * seconds)):
        send_at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, send_at - loop.time()))
        call = strategy.async_run(rng.randrange(ENTRIES), f"key-{number}")
        calls.append(asyncio.ensure_future(call))
    latencies = sorted(await asyncio.gather(*calls))
    await strategy.async_unload()
    return Result(
        way=strategy.name,
        rate=rate,
        requests=len(latencies),
        writes_per_request=round(api.writes / len(latencies), 3),
        reads_per_request=round(api.reads / len(latencies), 3),
        reserve_p50_ms=_percentile(latencies, 0.50),
        reserve_p99_ms=_percentile(latencies, 0.99),
    )


def _percentile(latencies: list[float], share: float) -> float:
    index = min(len(latencies) - 1, int(share * len(latencies)))
    return round(latencies[index] * 1_000, 1)


async def async_measure_all(seconds: float, seed: int) -> list[Result]:
    """Measure each strategy at each rate."""
    return [
        await async_measure(create_strategy, rate, seconds, seed)
        for rate in RATES_PER_SECOND
        for create_strategy in STRATEGIES
    ]


@click.command()
@click.option("--seconds", default=5.0, show_default=True, help="Duration of a run.")
@click.option("--seed", default=1, show_default=True, help="Seed of the arrivals.")
@click.option("--output", type=click.Choice(["text", "json"]), default="text")
def main(seconds: float, seed: int, output: str) -> None:
    """Compare strategies to run requests at most once."""
    results = asyncio.run(async_measure_all(seconds, seed))
    if output == "json":
        print(json.dumps([asdict(result) for result in results], indent=2))
        return
    print("way                 rate/s  writes/req  reads/req  p50 ms  p99 ms")
    for result in results:
        print(
            f"{result.way:18} {result.rate:7} {result.writes_per_request:11}"
            f" {result.reads_per_request:10} {result.reserve_p50_ms:7}"
            f" {result.reserve_p99_ms:7}"
        )


if __name__ == "__main__":
    main()
