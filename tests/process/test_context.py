"""Tests of the reuse of KV caches (context), also while the context store fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from bench.callers import Outcome
from bench.deployment import Deployment
from tests.process.common import (
    assert_correct,
    async_complete,
    async_restart,
    async_wait_until,
    long_prompt,
    make_call,
    process_of,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

BLOCKS = 16
PROMPT_COUNT = 3
DeploymentAction = Callable[[Deployment], Awaitable[None]]


async def async_clear_engine_caches(deployment: Deployment) -> None:
    """Clear the caches of all engines."""
    for vm in deployment.of_role("engine", "claims"):
        await deployment.async_set_fault(process_of(vm), "clear_cache")


async def async_send_and_check_long_prompts(
    deployment: Deployment, name: str
) -> list[Outcome]:
    """Send long prompts through all entries and check each answer."""
    outcomes = await async_complete(
        deployment,
        *(
            make_call(long_prompt(f"{name} {number}", BLOCKS), entry=number)
            for number in range(PROMPT_COUNT)
        ),
    )
    assert_correct(outcomes)
    return outcomes


async def async_wait_imported(deployment: Deployment, name: str) -> None:
    """Clear caches and send long prompts until an engine imports a stored KV cache."""

    async def is_imported() -> bool:
        await async_clear_engine_caches(deployment)
        outcomes = await async_send_and_check_long_prompts(deployment, name)
        return any(outcome.imported_tokens for outcome in outcomes)

    await async_wait_until(is_imported)


def set_store_fault(fault: str, **values: float | bool) -> DeploymentAction:
    async def apply(deployment: Deployment) -> None:
        store = deployment.of_role("store", "claims")[0]
        await deployment.async_set_fault(process_of(store), fault, **values)

    return apply


async def async_kill_store(deployment: Deployment) -> None:
    await process_of(deployment.of_role("store", "claims")[0]).kill()


async def async_restart_store(deployment: Deployment) -> None:
    await async_restart(deployment, deployment.of_role("store", "claims")[0])


async def test_repeated_prompt_is_imported_after_cache_clear(
    deployment: Deployment,
) -> None:
    await async_send_and_check_long_prompts(deployment, "returning")
    await async_wait_imported(deployment, "returning")


@pytest.mark.parametrize(
    ("name", "inject_fault", "clear_fault"),
    [
        ("full", set_store_fault("full"), set_store_fault("full", on=False)),
        (
            "slow",
            set_store_fault("link_factor", factor=0.1),
            set_store_fault("link_factor", on=False),
        ),
        ("killed", async_kill_store, async_restart_store),
    ],
)
async def test_answers_are_correct_while_store_fails(
    deployment: Deployment,
    name: str,
    inject_fault: DeploymentAction,
    clear_fault: DeploymentAction,
) -> None:
    await async_send_and_check_long_prompts(deployment, f"before {name}")

    await inject_fault(deployment)
    await async_clear_engine_caches(deployment)
    repeated, _ = await asyncio.gather(
        async_send_and_check_long_prompts(deployment, f"before {name}"),
        async_send_and_check_long_prompts(deployment, f"while {name}"),
    )
    await clear_fault(deployment)

    assert len(repeated) == PROMPT_COUNT
    await async_wait_imported(deployment, f"after {name}")
