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
LOST_SHARE: Final = 0.3

Step = Callable[[Deployment], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A fault with its start and its end."""

    start: Step
    end: Step


def _process(vm: Vm) -> RunningProcess:
    if vm.process is None:
        raise ValueError(f"{vm.vm_id} has no process")
    return vm.process


def _killed(role: str) -> Fault:
    """Return the death of a VM, which comes back under a new incarnation."""

    def find(deployment: Deployment) -> Vm:
        return deployment.of_role(role)[0]

    async def start(deployment: Deployment) -> None:
        await _process(find(deployment)).kill()

    async def end(deployment: Deployment) -> None:
        await deployment.async_start(find(deployment))
        await deployment.async_list_vms()

    return Fault(start=start, end=end)


def _frozen(role: str) -> Fault:
    async def start(deployment: Deployment) -> None:
        _process(deployment.of_role(role)[0]).freeze()

    async def end(deployment: Deployment) -> None:
        _process(deployment.of_role(role)[0]).thaw()

    return Fault(start=start, end=end)


def _on_stores(fault: str, **values: float) -> Fault:
    async def switch(deployment: Deployment, on: bool) -> None:
        for vm in filter(is_live, deployment.of_role("store")):
            await deployment.async_fault(_process(vm), fault, on=on, **values)

    async def start(deployment: Deployment) -> None:
        await switch(deployment, True)

    async def end(deployment: Deployment) -> None:
        await switch(deployment, False)

    return Fault(start=start, end=end)


def _on_platform(fault: str, **values: float) -> Fault:
    async def start(deployment: Deployment) -> None:
        await deployment.async_fault(deployment.platform, fault, **values)

    async def end(deployment: Deployment) -> None:
        await deployment.async_fault(deployment.platform, fault, on=False)

    return Fault(start=start, end=end)


FAULTS: Final = {
    "engine-dies": _killed("engine"),
    "engine-frozen": _frozen("engine"),
    "entry-dies": _killed("entry"),
    "entry-frozen": _frozen("entry"),
    "store-dies": _killed("store"),
    "store-full": _on_stores("full"),
    "link-slow": _on_stores("link_factor", factor=SLOW_LINK_FACTOR),
    "platform-outage": _on_platform("outage"),
    "platform-lost-answers": _on_platform("lose_answers", share=LOST_SHARE, seed=1),
}


def find_faults(names: str) -> list[Fault]:
    """Return the faults of ``a+b``; ``none`` is no fault.

    Raises
    ------
    ValueError
        A name is unknown.
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
