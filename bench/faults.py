"""Faults that a run injects into its deployment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from bench.deployment import Deployment
from bench.processes import RunningProcess
from bench.vms import Vm, is_live

SLOW_LINK_FACTOR: Final = 0.1
LOST_ANSWER_SHARE: Final = 0.3

Step = Callable[[Deployment], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault with the functions that start and end it."""

    start: Step
    end: Step


def _process(vm: Vm) -> RunningProcess:
    if vm.process is None:
        raise ValueError(f"{vm.vm_id} has no process")
    return vm.process


def _killed_vm(role: str) -> Fault:
    """Return the fault that kills a VM and restarts it as a new incarnation."""

    def first_vm(deployment: Deployment) -> Vm:
        return deployment.of_role(role)[0]

    async def start(deployment: Deployment) -> None:
        await _process(first_vm(deployment)).kill()

    async def end(deployment: Deployment) -> None:
        await deployment.async_start(first_vm(deployment))
        await deployment.async_publish_vm_list()

    return Fault(start=start, end=end)


def _frozen_vm(role: str) -> Fault:
    async def start(deployment: Deployment) -> None:
        _process(deployment.of_role(role)[0]).freeze()

    async def end(deployment: Deployment) -> None:
        _process(deployment.of_role(role)[0]).thaw()

    return Fault(start=start, end=end)


def _store_fault(fault: str, **values: float) -> Fault:
    async def switch(deployment: Deployment, on: bool) -> None:
        for vm in filter(is_live, deployment.of_role("store")):
            await deployment.async_set_fault(_process(vm), fault, on=on, **values)

    async def start(deployment: Deployment) -> None:
        await switch(deployment, True)

    async def end(deployment: Deployment) -> None:
        await switch(deployment, False)

    return Fault(start=start, end=end)


def _platform_fault(fault: str, **values: float) -> Fault:
    async def start(deployment: Deployment) -> None:
        await deployment.async_set_fault(deployment.platform, fault, **values)

    async def end(deployment: Deployment) -> None:
        await deployment.async_set_fault(deployment.platform, fault, on=False)

    return Fault(start=start, end=end)


FAULTS: Final = {
    "engine-dies": _killed_vm("engine"),
    "engine-frozen": _frozen_vm("engine"),
    "entry-dies": _killed_vm("entry"),
    "entry-frozen": _frozen_vm("entry"),
    "store-dies": _killed_vm("store"),
    "store-full": _store_fault("full"),
    "link-slow": _store_fault("link_factor", factor=SLOW_LINK_FACTOR),
    "platform-outage": _platform_fault("outage"),
    "platform-lost-answers": _platform_fault(
        "lose_answers", share=LOST_ANSWER_SHARE, seed=1
    ),
}


def parse_faults(names: str) -> list[Fault]:
    """Return the faults of a list such as ``a+b``; ``none`` means no fault.

    Raises
    ------
    ValueError
        A name of a fault is unknown.
    """
    if names == "none":
        return []
    unknown = [name for name in names.split("+") if name not in FAULTS]
    if unknown:
        raise ValueError(f"unknown faults: {', '.join(unknown)}")
    return [FAULTS[name] for name in names.split("+")]


async def async_inject(
    deployment: Deployment, faults: list[Fault], *, at: float, seconds: float
) -> None:
    """Start the faults after ``at`` seconds and end them ``seconds`` later."""
    await asyncio.sleep(at)
    for fault in faults:
        await fault.start(deployment)
    await asyncio.sleep(seconds)
    for fault in faults:
        await fault.end(deployment)
