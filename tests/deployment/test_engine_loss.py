"""Test that answers continue on another engine when their engine is killed."""

from __future__ import annotations

import asyncio

from bench.callers import Callers
from bench.deployment import Deployment
from tests.deployment.common import (
    SMALL,
    model_calls,
    process_of,
    running_requests,
    unexpected_outcomes,
)
from tests.stand_ins.common import wait_until


async def test_answers_are_complete_and_correct_when_an_engine_is_killed(
    deployment: Deployment, callers: Callers
) -> None:
    engine = deployment.of_role("engine", SMALL.long_service.service)[0]
    calls = asyncio.create_task(callers.async_run(model_calls(24, seconds=2.0)))

    async def has_work() -> bool:
        return await running_requests(deployment, engine) >= 2

    await wait_until(has_work)
    await process_of(engine).kill()
    assert unexpected_outcomes(await calls) == []
