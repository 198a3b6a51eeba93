"""Tests of kept context: returning prompts, and a store that fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bench.callers import Outcome
from bench.deployment import Deployment
from tests.process.common import (
    assert_right,
    async_complete,
    async_restart,
    long_prompt,
    make_call,
    process_of,
    wait_until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

BLOCKS = 16
DOSSIERS = 3
Step = Callable[[Deployment], Awaitable[None]]


async def async_evict(deployment: Deployment) -> None:
    """Empty the caches of all engines."""
    for vm in deployment.of_role("engine", "claims"):
        await deployment.async_set_fault(process_of(vm), "clear_cache")


async def async_send_dossiers(deployment: Deployment, name: str) -> list[Outcome]:
    """Send dossiers through all entries; each answer must be right."""
    outcomes = await async_complete(
        deployment,
        *(
            make_call(long_prompt(f"{name} {number}", BLOCKS), entry=number)
            for number in range(DOSSIERS)
        ),
    )
    assert_right(outcomes)
    return outcomes


async def async_wait_imported(deployment: Deployment, name: str) -> None:
    """Send dossiers after evictions until kept context is imported for one."""

    async def is_imported() -> bool:
        await async_evict(deployment)
        outcomes = await async_send_dossiers(deployment, name)
        return any(outcome.imported_tokens for outcome in outcomes)

    await wait_until(is_imported)


def switch(fault: str, **values: float | bool) -> Step:
    async def apply(deployment: Deployment) -> None:
        store = deployment.of_role("store", "claims")[0]
        await deployment.async_set_fault(process_of(store), fault, **values)

    return apply


async def kill_store(deployment: Deployment) -> None:
    await process_of(deployment.of_role("store", "claims")[0]).kill()


async def restart_store(deployment: Deployment) -> None:
    await async_restart(deployment, deployment.of_role("store", "claims")[0])


async def test_returning_prompt_is_imported_after_its_eviction(
    shared: Deployment,
) -> None:
    await async_send_dossiers(shared, "returning")
    await async_wait_imported(shared, "returning")


@pytest.mark.parametrize(
    ("name", "start", "end"),
    [
        ("full", switch("full"), switch("full", on=False)),
        (
            "slow",
            switch("link_factor", factor=0.1),
            switch("link_factor", on=False),
        ),
        ("killed", kill_store, restart_store),
    ],
)
async def test_answers_are_right_while_the_store_fails(
    shared: Deployment, name: str, start: Step, end: Step
) -> None:
    await async_send_dossiers(shared, f"before {name}")

    await start(shared)
    await async_evict(shared)
    returning, _ = await asyncio.gather(
        async_send_dossiers(shared, f"before {name}"),
        async_send_dossiers(shared, f"while {name}"),
    )
    await end(shared)

    assert len(returning) == DOSSIERS
    await async_wait_imported(shared, f"after {name}")
