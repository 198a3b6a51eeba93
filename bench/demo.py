"""Demo that runs a complete deployment for some seconds."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys
import tempfile
from typing import Final

import click
import httpx

from bench.deployment import Deployment, async_bring_up
from bench.layouts import LAYOUTS
from bench.processes import Launcher
from bench.report import as_table
from bench.run import RunPlan, RunResult, async_measure
from gypsumsail.routing.const import DEFAULT_POLICY

TERMINATED_EXIT_CODE: Final = 128 + signal.SIGTERM


async def async_demo(plan: RunPlan) -> RunResult:
    """Deploy a layout, send its traffic and print the measurements."""
    layout = LAYOUTS[plan.deployment]
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as directory:
        async with (
            Launcher() as launcher,
            httpx.AsyncClient(trust_env=False, timeout=10.0) as client,
        ):
            print(f"starting {layout.name}: {len(layout.entry_zones)} entries", end="")
            engines = sum(len(s.engine_zones) for s in layout.model_services)
            print(f", {engines} engines, 2 stores, 1 plain service", flush=True)
            deployment = await async_bring_up(
                layout, launcher, client, policy=plan.policy, directory=Path(directory)
            )
            print(f"sending the traffic of {plan.seconds:g} seconds", flush=True)
            result = await async_measure(deployment, plan)
            print(as_table([result]))
            await async_show_in_force(deployment)
            await deployment.async_stop_entries()
            return result


async def async_show_in_force(deployment: Deployment) -> None:
    """Print the output of the operator command ``document in-force``."""
    shown = await deployment.async_run_operator_command("document", "in-force")
    print("\n".join(shown.output))


@click.command()
@click.argument("deployment", type=click.Choice(sorted(LAYOUTS)), default="kerlann")
@click.option("--seconds", type=click.FloatRange(1), default=20.0)
@click.option("--policy", default=DEFAULT_POLICY)
def main(deployment: str, seconds: float, policy: str) -> None:
    """Run the demo.

    The exit code is 1 if an answer is wrong, an unrepeatable call ran twice or a
    class of calls got no complete answer.
    """
    plan = RunPlan(
        deployment=deployment,
        policy=policy,
        load=1.0,
        fault="none",
        seed=1,
        seconds=seconds,
    )
    try:
        result = asyncio.run(async_demo(plan))
    except asyncio.CancelledError:
        sys.exit(TERMINATED_EXIT_CODE)
    classes = result.measures.classes.values()
    unanswered = [row for row in classes if row.calls and not row.whole]
    sys.exit(bool(result.violations or unanswered))


if __name__ == "__main__":
    main()
