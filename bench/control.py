"""Measures the cost of the control plane per entry as the fleet grows.

A relay is an entry that calls the platform for its zone. One relay and the platform's
stand-in run in their own processes; all other entries share one process and event
loop. The CPU time and memory of that process are divided by its number of entries;
those of the relay are measured separately. The costs include the clients of the
platform but not the forwarding of requests.
"""

from __future__ import annotations

import asyncio
from dataclasses import asdict, dataclass, fields
import json
from pathlib import Path
import resource
import statistics
import sys
import time
from typing import Final

import click

from bench.control_fleet import (
    FIRST_ZONE,
    MODELS,
    ControlFleet,
    ControlNode,
    document_text,
    relay_name,
)
from bench.fit import fit_line
from bench.processes import LISTENING_PREFIX, Launcher, RunningProcess
from gypsumsail.documents.apply import Applied, async_apply

TARGET_ENTRIES: Final = 340
SETTLE_SECONDS: Final = 10.0
MEASURED_CHANGES: Final = 10
CHANGE_PAUSE_SECONDS: Final = 0.7
CHANGE_TIMEOUT_SECONDS: Final = 60.0
PAGE_BYTES: Final = resource.getpagesize()
RESULT_PREFIX: Final = "result "


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlCost:
    """Cost of the control plane in one fleet.

    The values are averages per entry unless stated otherwise. Those that start with
    ``relay_`` are of the relay with its own process.

    Attributes
    ----------
    entries
        Number of entries of the fleet.
    relay_cpu_percent, cpu_percent
        Percentage of one CPU core.
    relay_memory_bytes, memory_bytes
        Growth of the resident set size since before the first entry.
    relay_sent_per_second, relay_received_per_second, sent_per_second
        Bytes per second.
    relay_links, links
        Number of connections to other entries.
    sent_most, received_most
        Bytes per second of the entry with the highest value.
    in_force_p50, in_force_most
        Median and maximum seconds from the start of a document write until the
        document is in force on all entries.
    platform_reads, platform_writes
        Reads, without watches, and writes per second of the whole fleet.
    platform_waiting
        Number of waiting watches of the whole fleet.
    """

    entries: int
    relay_cpu_percent: float
    relay_memory_bytes: float
    relay_sent_per_second: float
    relay_received_per_second: float
    relay_links: float
    frames_per_second: float
    sent_per_second: float
    sent_most: float
    received_most: float
    links: float
    cpu_percent: float
    memory_bytes: float
    in_force_p50: float
    in_force_most: float
    platform_reads: float
    platform_writes: float
    platform_waiting: float


def resident_bytes() -> int:
    """Return the resident set size of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def traffic_counters(nodes: list[ControlNode]) -> list[tuple[int, int, int]]:
    """Return the bytes sent, bytes received and frames sent of each entry."""
    counters = [node.network.counters for node in nodes]
    return [(one.bytes_sent, one.bytes_received, one.frames_sent) for one in counters]


async def async_measure(
    count: int, *, zones: int, engines: int, seconds: float, platform_url: str
) -> dict[str, float]:
    """Run and measure a fleet without the relay that has its own process."""
    before = resident_bytes()
    fleet = ControlFleet(platform_url=platform_url, engines=engines)
    await fleet.async_start(count, zones)
    services = [f"service-{index}" for index in range(MODELS)]
    await asyncio.gather(*(async_change_document(fleet, one, 0) for one in services))
    click.echo(f"{LISTENING_PREFIX}{fleet.nodes[0].network.peer_url}")
    await asyncio.sleep(SETTLE_SECONDS)
    start, start_cpu = time.monotonic(), time.process_time()
    start_bytes, start_calls = (
        traffic_counters(fleet.nodes),
        await fleet.async_counters(),
    )
    await asyncio.sleep(seconds)
    duration, cpu = time.monotonic() - start, time.process_time() - start_cpu
    calls = await fleet.async_counters()
    rates = [
        tuple((b - a) / duration for a, b in zip(one, two, strict=True))
        for one, two in zip(start_bytes, traffic_counters(fleet.nodes), strict=True)
    ]
    links = [len(node.network.links) for node in fleet.nodes]
    memory = resident_bytes() - before
    times = [
        await async_change_document(fleet, "service-0", 1 + n)
        for n in range(MEASURED_CHANGES)
    ]
    await fleet.async_stop()
    reads = sum(calls[kind] - start_calls[kind] for kind in ("reads", "vm_lists"))
    return {
        "frames_per_second": statistics.fmean(rate[2] for rate in rates),
        "sent_per_second": statistics.fmean(rate[0] for rate in rates),
        "sent_most": max(rate[0] for rate in rates),
        "received_most": max(rate[1] for rate in rates),
        "links": statistics.fmean(links),
        "cpu_percent": 100 * cpu / duration / count,
        "memory_bytes": memory / count,
        "in_force_p50": statistics.median(times),
        "in_force_most": max(times),
        "platform_reads": reads / duration,
        "platform_writes": (calls["writes"] - start_calls["writes"]) / duration,
        "platform_waiting": calls["waiting"],
    }


async def async_measure_relay(
    name: str, *, seed: str, seconds: float, platform_url: str
) -> dict[str, float]:
    """Run and measure the relay that has its own process."""
    before = resident_bytes()
    fleet = ControlFleet(platform_url=platform_url, seeds=(seed,))
    await fleet.async_start_entry(name, FIRST_ZONE)
    await asyncio.sleep(SETTLE_SECONDS)
    start, start_cpu = time.monotonic(), time.process_time()
    (start_bytes,) = traffic_counters(fleet.nodes)
    await asyncio.sleep(seconds)
    duration, cpu = time.monotonic() - start, time.process_time() - start_cpu
    (end_bytes,) = traffic_counters(fleet.nodes)
    node = fleet.nodes[0]
    if not node.membership.calls_platform(node.membership.clock.monotonic()):
        raise click.ClickException(f"{name} is not a relay")
    return {
        "relay_cpu_percent": 100 * cpu / duration,
        "relay_memory_bytes": resident_bytes() - before,
        "relay_sent_per_second": (end_bytes[0] - start_bytes[0]) / duration,
        "relay_received_per_second": (end_bytes[1] - start_bytes[1]) / duration,
        "relay_links": len(node.network.links),
    }


async def async_change_document(
    fleet: ControlFleet, service: str, number: int
) -> float:
    """Change a document; return the seconds until it is in force on all entries."""
    await asyncio.sleep(CHANGE_PAUSE_SECONDS)
    node = fleet.nodes[0]
    in_force = node.documents.in_force(service)
    version = 0 if in_force is None else in_force.version
    sent_at = time.monotonic()
    applied = await async_apply(
        node.platform,
        service,
        document_text(service, len(fleet.nodes), f"v{number}"),
        expected_version=version or None,
        highest_in_force=version,
    )
    if not isinstance(applied, Applied):
        raise click.ClickException(
            f"write {number} of {service} failed with a conflict"
        )
    async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS):
        await fleet.in_force_future(service, applied.version)
    return time.monotonic() - sent_at


async def async_run_size(
    size: int, *, zones: int, engines: int, seconds: float
) -> ControlCost:
    """Measure one fleet; its last entry is the relay with its own process."""
    async with Launcher() as launcher:
        platform = await launcher.start_module("platform", "stand_ins.platform")
        common = ["--platform-url", platform.url, "--seconds", str(seconds)]
        common += ["--zones", str(zones), "--single", str(size - 1)]
        common += ["--engines", str(engines)]
        fleet = await launcher.start_module("fleet", "bench.control", common)
        common += ["--seed-peer", fleet.ready_line]
        relay = await launcher.run_module("relay", "bench.control", common)
        await fleet.process.wait()
        await fleet.finish_output()
        return ControlCost(entries=size, **parse_result(fleet), **parse_result(relay))


def parse_result(process: RunningProcess) -> dict[str, float]:
    """Return the measurements that a process has printed."""
    lines = [one for one in process.output if one.startswith(RESULT_PREFIX)]
    if not lines:
        raise click.ClickException("\n".join(process.output))
    result: dict[str, float] = json.loads(lines[-1].removeprefix(RESULT_PREFIX))
    return result


async def async_run_sizes(
    sizes: list[int], *, zones: int, engines: int, seconds: float
) -> list[ControlCost]:
    """Measure fleets of several sizes one after the other."""
    costs = []
    for size in sizes:
        cost = await async_run_size(size, zones=zones, engines=engines, seconds=seconds)
        costs.append(cost)
        click.echo(json.dumps(asdict(costs[-1])), err=True)
    return costs


def table(costs: list[ControlCost], *, fit_from: int) -> str:
    """Return the costs and a linear fit of the larger sizes as a Markdown table."""
    names = [item.name for item in fields(ControlCost) if item.name != "entries"]
    fitted_costs = [cost for cost in costs if cost.entries >= fit_from]
    sizes = [float(cost.entries) for cost in fitted_costs]
    headers = [*(f"{cost.entries}" for cost in costs), "slope", "± ", "at 340", "±"]
    lines = ["| measurement | " + " | ".join(headers) + " |"]
    lines.append("| --- |" + " ---: |" * len(headers))
    for name in names:
        values = [float(getattr(cost, name)) for cost in costs]
        cells = [f"{value:.4g}" for value in values]
        if len(fitted_costs) > 2:
            line = fit_line(sizes, [float(getattr(one, name)) for one in fitted_costs])
            cells += [f"{line.slope:.3g}", f"{line.slope_error:.2g}"]
            cells.append(f"{line.value_at(TARGET_ENTRIES):.4g}")
            cells.append(f"{line.error_at(TARGET_ENTRIES):.2g}")
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


@click.command()
@click.option(
    "--entries", default="3,7,15,30,50", help="Fleet sizes, separated by commas."
)
@click.option("--zones", default=5, help="Availability zones.")
@click.option(
    "--engines", default=0, help="Listed engines; 0: in proportion to the entries."
)
@click.option(
    "--seconds", default=20.0, help="Duration of the steady-state measurement."
)
@click.option(
    "--fit-from", default=15, help="Smallest fleet size that the linear fit includes."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
# ``async_run_size`` starts processes with the hidden options. ``--single`` is the
# number of entries without the relay, and ``--seed-peer`` selects the relay.
@click.option("--single", type=int, hidden=True)
@click.option("--seed-peer", hidden=True)
@click.option("--platform-url", default="", hidden=True)
def main(
    entries: str,
    zones: int,
    engines: int,
    seconds: float,
    fit_from: int,
    as_json: bool,
    single: int | None,
    seed_peer: str | None,
    platform_url: str,
) -> None:
    """Measure the control plane cost per entry and its growth with the fleet."""
    if single is not None:
        measurement = async_measure_process(
            single,
            zones=zones,
            engines=engines,
            seconds=seconds,
            seed_peer=seed_peer,
            platform_url=platform_url,
        )
        click.echo(RESULT_PREFIX + json.dumps(asyncio.run(measurement)))
        return
    sizes = [int(size) for size in entries.split(",")]
    runs = async_run_sizes(sizes, zones=zones, engines=engines, seconds=seconds)
    costs = asyncio.run(runs)
    if as_json:
        click.echo(json.dumps([asdict(cost) for cost in costs], indent=2))
    else:
        click.echo(table(costs, fit_from=fit_from))


async def async_measure_process(
    entry_count: int,
    *,
    zones: int,
    engines: int,
    seconds: float,
    seed_peer: str | None,
    platform_url: str,
) -> dict[str, float]:
    """Measure the part of the fleet that this process runs.

    This is the relay if ``seed_peer`` is set, and the ``entry_count`` other entries
    otherwise.
    """
    if seed_peer is None:
        return await async_measure(
            entry_count,
            zones=zones,
            engines=engines,
            seconds=seconds,
            platform_url=platform_url,
        )
    return await async_measure_relay(
        relay_name(entry_count, zones),
        seed=seed_peer,
        seconds=seconds,
        platform_url=platform_url,
    )


if __name__ == "__main__":
    sys.exit(main())
