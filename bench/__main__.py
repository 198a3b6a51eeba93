"""Command line of the benchmark."""

from __future__ import annotations

from pathlib import Path
import sys

import click
import uvloop

from bench.faults import FAULTS, parse_faults
from bench.layouts import LAYOUTS
from bench.report import as_json, as_table
from bench.run import RunPlan, async_run
from gypsumsail.routing.const import DEFAULT_POLICY


@click.group()
def bench() -> None:
    """Measure gypsumsail in its real processes."""


@bench.command()
@click.option("--deployment", type=click.Choice(sorted(LAYOUTS)), default="kerlann")
@click.option("--policy", default=DEFAULT_POLICY, help="An entry's --routing-policy.")
@click.option("--load", type=float, default=1.0, help="Factor on the arrival rates.")
@click.option(
    "--fault",
    default="none",
    help=f"none, or some of these joined by +: {', '.join(FAULTS)}.",
)
@click.option("--seeds", type=click.IntRange(1), default=1)
@click.option("--first-seed", type=int, default=1)
@click.option("--seconds", type=click.FloatRange(1), default=30.0)
@click.option("--json", "json_file", type=click.Path(path_type=Path))
def run(
    deployment: str,
    policy: str,
    load: float,
    fault: str,
    seeds: int,
    first_seed: int,
    seconds: float,
    json_file: Path | None,
) -> None:
    """Run the traffic of each seed on a new deployment.

    The exit code is 1 if an answer was wrong or an unrepeatable call ran twice, and
    0 otherwise.
    """
    try:
        parse_faults(fault)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None
    results = [
        uvloop.run(
            async_run(
                RunPlan(
                    deployment=deployment,
                    policy=policy,
                    load=load,
                    fault=fault,
                    seed=seed,
                    seconds=seconds,
                )
            )
        )
        for seed in range(first_seed, first_seed + seeds)
    ]
    if json_file is not None:
        json_file.write_text(as_json(results), encoding="utf-8")
    print(as_table(results))
    sys.exit(any(result.violations for result in results))


if __name__ == "__main__":
    bench()
