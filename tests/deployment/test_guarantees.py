"""End-to-end tests of guarantees on shutdown, killed entries and lost responses."""

from __future__ import annotations

import asyncio
import signal

from bench.callers import Callers
from bench.deployment import Deployment
from tests.deployment.common import (
    SMALL,
    model_calls,
    process_of,
    running_requests,
    unexpected_outcomes,
    unrepeatable_calls,
)
from tests.stand_ins.common import wait_until


async def test_graceful_shutdown_completes_running_answers(
    deployment: Deployment, callers: Callers
) -> None:
    entry = deployment.of_role("entry")[0]
    engines = deployment.of_role("engine", SMALL.long_service.service)
    calls = [call for call in model_calls(24, seconds=0.0) if call.entry == 0]
    running = asyncio.create_task(callers.async_run(calls))

    async def have_work() -> bool:
        counts = [await running_requests(deployment, engine) for engine in engines]
        return sum(counts) == len(calls)

    await wait_until(have_work)
    process_of(entry).send_signal(signal.SIGTERM)
    assert unexpected_outcomes(await running) == []
    async with asyncio.timeout(60):
        assert await process_of(entry).process.wait() == 0


async def test_unrepeatable_calls_run_at_most_once_despite_copies_and_lost_responses(
    deployment: Deployment, callers: Callers
) -> None:
    plain = process_of(deployment.of_role("plain")[0])
    before = (await deployment.async_counters(plain))["runs_by_body"]
    await deployment.async_set_fault(
        deployment.platform, "lose_answers", share=0.3, seed=1
    )
    letters = unrepeatable_calls(20, copies=3, seconds=2.0)
    calls = asyncio.create_task(callers.async_run(letters))
    await asyncio.sleep(1.0)
    await process_of(deployment.of_role("entry")[0]).kill()
    outcomes = await calls
    counted = (await deployment.async_counters(plain))["runs_by_body"]
    runs = {body: count for body, count in counted.items() if body not in before}
    assert runs
    assert set(runs.values()) == {1}
    # Each call with an answer has run.
    answered = [outcome.call.key for outcome in outcomes if outcome.whole]
    assert len(set(answered)) <= len(runs)
