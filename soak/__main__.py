"""Command line of the soak test."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from soak.run import Soak


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=3, help="Number of seeds, one after the other.")
@click.option("--vms", default=4, help="Number of VMs, each a process.")
@click.option(
    "--seconds", default=12.0, help="Seconds of injected faults for each seed."
)
@click.option(
    "--cut-vms/--no-cut-vms", default=True, help="Also cut VMs from all targets."
)
@click.option(
    "--take-up/--no-take-up",
    default=True,
    help="Also let callers take up streams, while engines change their build.",
)
@click.option(
    "--hold-orders/--no-hold-orders",
    default=True,
    help="Also cut VMs as they send orders, if VMs are cut.",
)
@click.option(
    "--random-faults/--no-random-faults",
    default=True,
    help="Without random faults, only cuts of VMs as they send orders remain.",
)
@click.option(
    "--cold/--no-cold",
    default=False,
    help="Also let engines be cold after a start, and become cold under load.",
)
@click.option(
    "--evacuations/--no-evacuations",
    default=False,
    help="Also evacuate zones, also while the object store is down.",
)
@click.option(
    "--isolation/--no-isolation",
    default=False,
    help="Also isolate customers from time to time.",
)
@click.option(
    "--earlier-build",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Checkout of a build that runs first and is replaced VM by VM.",
)
def main(
    first: int,
    seeds: int,
    vms: int,
    seconds: float,
    cut_vms: bool,
    take_up: bool,
    hold_orders: bool,
    random_faults: bool,
    cold: bool,
    evacuations: bool,
    isolation: bool,
    earlier_build: Path | None,
) -> None:
    """Run each seed; the exit code is 1 if any seed has findings."""
    failed = False
    for seed in range(first, first + seeds):
        run = Soak(seed, vms, seconds)
        run.uses_own_links = cut_vms
        run.takes_up_streams = take_up
        # A held link delivers requests seconds later, which is no fault of the sender.
        run.holds_orders = cut_vms and hold_orders and not (cold or evacuations)
        run.has_cold_engines = cold
        run.has_evacuations = evacuations
        run.changes_isolation = isolation
        run.has_random_faults = random_faults
        run.earlier_build = earlier_build
        report = asyncio.run(run.async_run())
        click.echo(
            f"seed {seed}: {report.served} of {report.calls} calls served, "
            f"{len(report.faults)} faults, {report.orders} orders with "
            f"{report.holders} fences, {report.cold_requests} requests to cold engines "
            f"with {report.cold_crashes} crashes, {report.evacuations} evacuations, "
            f"{report.shared_parts} parts of other customers used, "
            f"{len(report.findings)} findings"
        )
        for finding in report.findings[:10]:
            click.echo(f"  {finding}")
        if report.findings:
            failed = True
            click.echo(f"  faults: {' '.join(report.faults)}")
            for history in report.histories:
                click.echo(f"  {history}")
            click.echo(f"  logs: {' '.join(report.logs)}")
    raise SystemExit(1 if failed else 0)


main()
