"""CPU time that one entry uses per request and per forwarded token."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
import json
import os
from pathlib import Path
import tempfile
import time
from typing import Final

import click
import httpx

from bench.deployment import Deployment, DeploymentError, async_bring_up
from bench.layouts import KERLANN, MODEL_PATH, Layout, ModelServiceLayout
from bench.processes import Launcher
from gypsumsail.routing.const import DEFAULT_POLICY

CONCURRENT_STREAMS: Final = 24
MAX_ANSWER_TOKENS: Final = 64
FAST_STEP_SECONDS: Final = 0.002
WARM_UP_ANSWERS_PER_STREAM: Final = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficMeasurement:
    """Traffic that an entry has forwarded, and its cost.

    Attributes
    ----------
    seconds
        Duration of the traffic.
    cpu_seconds
        CPU time of the entry in excess of its idle use.
    """

    requests: int
    tokens: int
    seconds: float
    cpu_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryCosts:
    """CPU time per request and per token, computed from two measurements."""

    milliseconds_per_request: float
    microseconds_per_token: float
    idle_share_of_core: float


def one_entry_layout() -> Layout:
    """Return a deployment with one entry and two fast engines."""
    zone = KERLANN.entry_zones[0]
    return replace(
        KERLANN,
        entry_zones=(zone,),
        long_service=_with_fast_engine(KERLANN.long_service, zone),
        short_service=_with_fast_engine(KERLANN.short_service, zone),
    )


def _with_fast_engine(service: ModelServiceLayout, zone: str) -> ModelServiceLayout:
    return replace(service, engine_zones=(zone,), step_seconds=FAST_STEP_SECONDS)


def cpu_seconds_of(pid: int) -> float:
    """Return the CPU time in seconds that a process has used."""
    process_stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    user, system = process_stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


class EntryTraffic:
    """Sends calls to the only entry of a deployment."""

    def __init__(self, deployment: Deployment, client: httpx.AsyncClient) -> None:
        (vm,) = deployment.of_role("entry")
        if vm.process is None:
            raise ValueError("the entry has no process")
        self.url = vm.url + MODEL_PATH
        self.pid = vm.process.process.pid
        self.client = client
        self.layout = deployment.layout

    async def async_request_answers(
        self, count: int, max_tokens: int, name: str
    ) -> int:
        """Request answers one after the other; return their total number of tokens.

        Raises
        ------
        DeploymentError
            A call is not answered with status 200.
        """
        tokens = 0
        key = self.layout.customers[0].api_key
        for number in range(count):
            body = {
                "model": self.layout.short_service.model,
                "prompt": f"{name}/{number}",
                "max_tokens": max_tokens,
                "stream": True,
            }
            response = await self.client.post(
                self.url, json=body, headers={"Authorization": f"Bearer {key}"}
            )
            if response.status_code != httpx.codes.OK:
                raise DeploymentError(response.text)
            usage = json.loads(response.text.split("data: ")[-2])["usage"]
            tokens += usage["completion_tokens"]
        return tokens

    async def async_idle_share(self, seconds: float) -> float:
        """Return the share of a CPU core that the entry uses without calls."""
        before = cpu_seconds_of(self.pid)
        await asyncio.sleep(seconds)
        return (cpu_seconds_of(self.pid) - before) / seconds

    async def async_send(
        self, count: int, max_tokens: int, idle_share: float
    ) -> TrafficMeasurement:
        """Send ``count`` calls on each of the concurrent streams."""
        before, started = cpu_seconds_of(self.pid), time.monotonic()
        tokens = await asyncio.gather(
            *(
                self.async_request_answers(count, max_tokens, f"{max_tokens}/{stream}")
                for stream in range(CONCURRENT_STREAMS)
            )
        )
        seconds = time.monotonic() - started
        used = cpu_seconds_of(self.pid) - before - idle_share * seconds
        return TrafficMeasurement(
            requests=CONCURRENT_STREAMS * count,
            tokens=sum(tokens),
            seconds=seconds,
            cpu_seconds=used,
        )


def solve_costs(
    short: TrafficMeasurement, long: TrafficMeasurement, idle_share: float
) -> EntryCosts:
    """Solve for the costs per request and token that yield both measured CPU times."""
    determinant = short.requests * long.tokens - long.requests * short.tokens
    per_request = (
        short.cpu_seconds * long.tokens - long.cpu_seconds * short.tokens
    ) / determinant
    per_token = (
        long.cpu_seconds * short.requests - short.cpu_seconds * long.requests
    ) / determinant
    return EntryCosts(
        milliseconds_per_request=per_request * 1e3,
        microseconds_per_token=per_token * 1e6,
        idle_share_of_core=idle_share,
    )


async def async_run(answers: int, rounds: int, idle_seconds: float) -> list[EntryCosts]:
    """Measure the costs in several rounds on one deployment."""
    layout, measured = one_entry_layout(), []
    limits = httpx.Limits(max_connections=None)
    with tempfile.TemporaryDirectory() as directory:
        async with (
            Launcher() as launcher,
            httpx.AsyncClient(trust_env=False, timeout=60, limits=limits) as client,
        ):
            deployment = await async_bring_up(
                layout,
                launcher,
                client,
                policy=DEFAULT_POLICY,
                directory=Path(directory),
            )
            traffic = EntryTraffic(deployment, client)
            await traffic.async_send(WARM_UP_ANSWERS_PER_STREAM, MAX_ANSWER_TOKENS, 0.0)
            idle_share = await traffic.async_idle_share(idle_seconds)
            for _ in range(rounds):
                short = await traffic.async_send(answers, 1, idle_share)
                long = await traffic.async_send(answers, MAX_ANSWER_TOKENS, idle_share)
                measured.append(solve_costs(short, long, idle_share))
    return measured


@click.command()
@click.option("--answers", default=30, help="Number of answers on each of 24 streams.")
@click.option("--rounds", default=3)
@click.option("--idle-seconds", default=10.0)
def main(answers: int, rounds: int, idle_seconds: float) -> None:
    """Print the CPU time of an entry per request and per token."""
    for costs in asyncio.run(async_run(answers, rounds, idle_seconds)):
        line = {
            "ms_per_request": round(costs.milliseconds_per_request, 2),
            "us_per_token": round(costs.microseconds_per_token, 1),
            "idle_share_of_core": round(costs.idle_share_of_core, 4),
        }
        print(json.dumps(line))


if __name__ == "__main__":
    main()
