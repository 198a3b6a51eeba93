"""Small deployment and traffic for the end-to-end tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from bench.callers import Outcome
from bench.deployment import Deployment
from bench.layouts import KERLANN
from bench.processes import RunningProcess
from bench.traffic import Call, CallClass
from bench.vms import Vm

ZONES: Final = ("brest-hall", "rennes-hall", "lorient-hall")
SMALL: Final = replace(
    KERLANN,
    entry_zones=ZONES,
    long_service=replace(KERLANN.long_service, engine_zones=ZONES[:2]),
    short_service=replace(KERLANN.short_service, engine_zones=ZONES[:1]),
)


def model_calls(count: int, *, seconds: float) -> list[Call]:
    """Return calls with long answers, distributed over time and all entries."""
    return [
        Call(
            at=seconds * number / count,
            call_class=CallClass.LONG,
            customer=number % len(SMALL.customers),
            entry=number % len(ZONES),
            prompt=f"dossier {number}: " + "a delayed leg " * 200,
            max_tokens=64,
            key="",
        )
        for number in range(count)
    ]


def unrepeatable_calls(count: int, *, copies: int, seconds: float) -> list[Call]:
    """Return unrepeatable calls, each sent to ``copies`` entries at the same time."""
    return [
        Call(
            at=seconds * number / count,
            call_class=CallClass.PLAIN,
            customer=number % len(SMALL.customers),
            entry=(number + copy) % len(ZONES),
            prompt=f"letter {number}",
            max_tokens=0,
            key=f"letter-{number}",
        )
        for number in range(count)
        for copy in range(copies)
    ]


def process_of(vm: Vm) -> RunningProcess:
    """Return the process of a VM."""
    assert vm.process is not None
    return vm.process


def unexpected_outcomes(outcomes: list[Outcome]) -> list[str]:
    """Return the error of each outcome without a complete and correct answer."""
    return [o.wrong or o.failure for o in outcomes if o.wrong or not o.whole]


async def running_requests(deployment: Deployment, vm: Vm) -> int:
    """Return the number of unfinished requests in an engine."""
    counters = await deployment.async_counters(process_of(vm))
    return len(counters["running"])
