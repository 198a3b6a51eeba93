"""Tests of a request that crashes every target that runs it."""

from __future__ import annotations

import asyncio

import pytest

from bench.callers import Outcome
from bench.deployment import Deployment, Vm
from tests.process.common import (
    assert_correct,
    async_complete,
    async_restart,
    async_wait_until,
    make_call,
    process_of,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

MARKER = "CRASHES-THE-TARGET"
CRASHING_REQUEST_REFUSAL = "crashes_targets: may have run"
TARGETS_LOST = 2
BACKGROUND_CALLS = 9
BACKGROUND_TOKENS = 120


def engines_of(deployment: Deployment) -> list[Vm]:
    return deployment.of_role("engine", "claims")


def exited_engines(deployment: Deployment) -> list[Vm]:
    return [vm for vm in engines_of(deployment) if not process_of(vm).is_running]


async def async_are_engines_busy(deployment: Deployment) -> bool:
    """Return whether every running engine has a request in progress."""
    counters = [
        await deployment.async_counters(process_of(vm))
        for vm in engines_of(deployment)
        if process_of(vm).is_running
    ]
    return all(found.get("running") for found in counters)


async def async_set_crash_marker(deployment: Deployment, *vms: Vm) -> None:
    for vm in vms:
        await deployment.async_set_fault(process_of(vm), "crash_on", marker=MARKER)


async def async_send_crashing_request(
    deployment: Deployment, name: str
) -> list[Outcome]:
    """Send the request concurrently, twice through each entry."""
    calls = [make_call(f"{MARKER} {name}", entry=number % 3) for number in range(6)]
    return await async_complete(deployment, *calls)


async def async_send_background_calls(
    deployment: Deployment, batch: int
) -> list[Outcome]:
    calls = [
        make_call(
            f"neighbour {batch}.{number}",
            entry=number % 3,
            customer=number % 2,
            max_tokens=BACKGROUND_TOKENS,
        )
        for number in range(BACKGROUND_CALLS)
    ]
    return await async_complete(deployment, *calls)


async def async_occupy_engines(
    deployment: Deployment,
) -> list[asyncio.Task[list[Outcome]]]:
    """Send background calls until every running engine has one; return the batches.

    A batch may leave an engine without a call. In this case the next batch is sent as
    soon as the batch has ended.
    """
    batches: list[asyncio.Task[list[Outcome]]] = []

    async def are_all_busy() -> bool:
        if not batches or batches[-1].done():
            batch = async_send_background_calls(deployment, len(batches))
            batches.append(asyncio.create_task(batch))
        return await async_are_engines_busy(deployment)

    await async_wait_until(are_all_busy)
    return batches


async def test_crashing_request_stops_two_engines(
    deployment: Deployment,
) -> None:
    await async_set_crash_marker(deployment, *engines_of(deployment))
    batches = await async_occupy_engines(deployment)

    outcomes: list[Outcome] = []

    async def is_rejected() -> bool:
        found = await async_send_crashing_request(deployment, "repeated")
        outcomes.extend(found)
        return {outcome.failure.partition(":")[0] for outcome in found} == {
            "crashes_targets"
        }

    await async_wait_until(is_rejected)

    assert not [outcome for outcome in outcomes if outcome.whole or outcome.wrong]
    assert len(exited_engines(deployment)) == TARGETS_LOST
    for batch in batches:
        assert_correct(await batch)

    lost = exited_engines(deployment)
    await async_restart(deployment, *lost)
    await async_set_crash_marker(deployment, *lost)
    again = await async_send_crashing_request(deployment, "repeated")
    served = await async_complete(
        deployment,
        *(make_call(f"after {number}", entry=number % 3) for number in range(9)),
    )

    assert {outcome.failure.partition(":")[0] for outcome in again} == {
        "crashes_targets"
    }
    assert not exited_engines(deployment)
    assert_correct(served)
