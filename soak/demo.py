"""Runs the program without faults on the stand-ins of v1_platform.py."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import json
from pathlib import Path
from statistics import quantiles

import click

from soak.callers import NOT_RUN_STATUSES, PATHS_BY_KIND, CallResult
from soak.run import Report, Soak

HEADER = ("kind", "calls", "whole", "refused", "failed", "p50", "p95")
SEED = 1


def as_table(results: Sequence[CallResult]) -> str:
    """Return a row for each kind of call; times are seconds to the complete answer."""
    rows = [HEADER, *(_row(kind, results) for kind in PATHS_BY_KIND)]
    return "\n".join("".join(cell.rjust(10) for cell in row) for row in rows)


def _row(kind: str, results: Sequence[CallResult]) -> tuple[str, ...]:
    found = [result for result in results if result.kind == kind]
    whole = sorted(result.seconds for result in found if result.status == 200)
    refused = sum(result.status in NOT_RUN_STATUSES for result in found)
    percentiles = quantiles(whole, n=20) if len(whole) > 1 else []
    return (
        kind,
        str(len(found)),
        str(len(whole)),
        str(refused),
        str(len(found) - len(whole) - refused),
        f"{percentiles[9]:.3f}" if percentiles else "-",
        f"{percentiles[18]:.3f}" if percentiles else "-",
    )


def documents_in_force(logs: Sequence[str]) -> list[str]:
    """Return a line for each VM with the document in force according to its log."""
    return [f"{Path(log).stem}: {_last_document(Path(log))}" for log in logs]


def _last_document(log: Path) -> str:
    lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    found = [event for event in events if event.get("event") == "document in force"]
    return f"version {found[-1].get('version')}" if found else "no document"


async def _async_demo(vms: int, seconds: float) -> tuple[Report, list[CallResult]]:
    soak = Soak(SEED, vms, seconds)
    click.echo(f"starting {vms} VMs and {len(soak.targets)} targets")
    click.echo(f"sending the calls of {seconds:g} seconds")
    return await soak.async_run_without_faults(), soak.results


@click.command()
@click.option("--vms", type=click.IntRange(1), default=4)
@click.option("--seconds", type=click.FloatRange(1), default=60.0)
def main(vms: int, seconds: float) -> None:
    """Run the demo; the exit code is 1 if an answer is wrong or a call fails."""
    report, results = asyncio.run(_async_demo(vms, seconds))
    click.echo(as_table(results))
    click.echo("\n".join(documents_in_force(report.logs)))
    for finding in report.findings:
        click.echo(f"BROKEN: {finding}")
    raise SystemExit(1 if report.findings or report.served < report.calls else 0)


if __name__ == "__main__":
    main()
