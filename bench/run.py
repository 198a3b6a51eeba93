"""One run: a deployment, its traffic, its faults and the measurements."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import hashlib
from pathlib import Path
import tempfile
from typing import Any

import httpx

from bench.callers import Callers, Outcome
from bench.deployment import Deployment, async_bring_up
from bench.faults import async_inject, parse_faults
from bench.layouts import LAYOUTS
from bench.measures import Measures, measure
from bench.processes import Launcher
from bench.traffic import Call, CallClass, Traffic


@dataclass(frozen=True, slots=True, kw_only=True)
class RunPlan:
    """Parameters of one run.

    Attributes
    ----------
    deployment
        Name of the layout.
    policy
        Routing policy of the entries.
    load
        Factor on the arrival rates.
    fault
        Names of the faults to inject, joined by ``+``, or ``none``.
    seconds
        Duration of the traffic; faults are active during its middle third.
    """

    deployment: str
    policy: str
    load: float
    fault: str
    seed: int
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Measurements of a run.

    Attributes
    ----------
    once_runs
        Number of executions of unrepeatable calls.
    run_twice
        Idempotency keys of the unrepeatable calls that were executed more than once.
    in_force
        Document version in force by entry and service.
    platform
        Counters of the platform.
    """

    plan: RunPlan
    measures: Measures
    once_runs: int
    run_twice: tuple[str, ...]
    in_force: dict[str, dict[str, int]]
    platform: dict[str, Any]

    @property
    def violations(self) -> list[str]:
        """Return the violated guarantees: wrong answers and repeated executions."""
        return [
            *self.measures.wrong,
            *(f"run more than once: {name}" for name in self.run_twice),
        ]


async def async_run(plan: RunPlan) -> RunResult:
    """Start a deployment, send the traffic of a plan and measure it."""
    layout = LAYOUTS[plan.deployment]
    with tempfile.TemporaryDirectory() as directory:
        async with (
            Launcher() as launcher,
            httpx.AsyncClient(trust_env=False, timeout=10.0) as client,
        ):
            deployment = await async_bring_up(
                layout,
                launcher,
                client,
                policy=plan.policy,
                directory=Path(directory),
            )
            return await async_measure(deployment, plan)


async def async_measure(deployment: Deployment, plan: RunPlan) -> RunResult:
    """Send the traffic of a plan through a deployment and measure it."""
    traffic = Traffic(deployment.layout, plan.seed)
    calls = traffic.calls(seconds=plan.seconds, load=plan.load)
    outcomes = await _async_traffic(deployment, plan, calls)
    return await _async_result(deployment, plan, outcomes)


async def _async_traffic(
    deployment: Deployment, plan: RunPlan, calls: list[Call]
) -> list[Outcome]:
    callers = Callers(deployment.layout, deployment)
    third = plan.seconds / 3
    faults = parse_faults(plan.fault)
    try:
        async with asyncio.TaskGroup() as group:
            running = group.create_task(callers.async_run(calls))
            if faults:
                group.create_task(
                    async_inject(deployment, faults, at=third, seconds=third)
                )
    finally:
        await callers.async_close()
    return running.result()


async def _async_result(
    deployment: Deployment, plan: RunPlan, outcomes: list[Outcome]
) -> RunResult:
    runs = await _async_plain_runs(deployment)
    measures = measure(
        deployment.layout,
        outcomes,
        seconds=plan.seconds,
        fault_at=None if plan.fault == "none" else plan.seconds / 3,
        link_bytes=await _async_link_bytes(deployment),
    )
    return RunResult(
        plan=plan,
        measures=measures,
        once_runs=sum(runs.values()),
        run_twice=_repeated_keys(runs, outcomes),
        in_force=await deployment.async_in_force(),
        platform=await deployment.async_counters(deployment.platform),
    )


async def _async_plain_runs(deployment: Deployment) -> dict[str, int]:
    """Return the number of executions of each body at the plain service."""
    (vm,) = deployment.of_role("plain")
    if vm.process is None:
        return {}
    counters = await deployment.async_counters(vm.process)
    return dict(counters.get("runs_by_body", {}))


def _repeated_keys(runs: dict[str, int], outcomes: list[Outcome]) -> tuple[str, ...]:
    """Return the keys of the calls that were executed more than once.

    A body that no call has sent is represented by its digest.
    """
    keys_by_digest = {
        hashlib.sha256(outcome.call.prompt.encode()).hexdigest(): outcome.call.key
        for outcome in outcomes
        if outcome.call.call_class is CallClass.PLAIN
    }
    return tuple(
        keys_by_digest.get(digest, digest)
        for digest, count in runs.items()
        if count > 1
    )


async def _async_link_bytes(deployment: Deployment) -> dict[str, int]:
    moved: dict[str, int] = {}
    for vm in deployment.of_role("store"):
        if vm.process is None:
            continue
        counters = await deployment.async_counters(vm.process)
        for tier, count in counters.get("bytes_moved", {}).items():
            moved[f"{vm.vm_id}/{tier}"] = count
    return moved
