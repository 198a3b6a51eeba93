"""Tests of the graceful shutdown of an entry, and of its end at once."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import signal

import httpx
import pytest

from bench.deployment import OPERATOR_KEY, Deployment, Vm
from gypsumsail.membership.drain import BALANCER_NOTICE_SECONDS, IDLE_SECONDS
from tests.process.common import (
    LONG_ANSWER_TOKENS,
    assert_right,
    async_complete,
    async_restart,
    async_send_letter,
    entry_of,
    make_call,
    process_of,
    prompt_with_long_answer,
    wait_until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

STREAMS = 4


async def async_wait_running(deployment: Deployment, entry: Vm) -> None:
    """Wait until an entry has all streams under way."""

    async def are_running() -> bool:
        response = await deployment.client.get(
            f"{entry.url}/operator/status",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        return bool(response.json()["requests"] == STREAMS)

    await wait_until(are_running)


async def async_wait_unready(deployment: Deployment, entry: Vm) -> None:
    """Wait until the balancer is told to go elsewhere."""

    async def is_unready() -> bool:
        response = await deployment.client.get(f"{entry.url}/ready")
        return response.status_code == httpx.codes.SERVICE_UNAVAILABLE

    await wait_until(is_unready)


@asynccontextmanager
async def frozen_engines(deployment: Deployment) -> AsyncIterator[None]:
    """Hold all engines where they stand."""
    engines = [process_of(vm) for vm in deployment.of_role("engine", "claims")]
    for engine in engines:
        engine.freeze()
    try:
        yield
    finally:
        for engine in engines:
            engine.thaw()


async def test_first_signal_lets_all_streams_end(shared: Deployment) -> None:
    entry = entry_of(shared, 0)
    calls = [
        make_call(
            prompt_with_long_answer(f"stream {number}"), max_tokens=LONG_ANSWER_TOKENS
        )
        for number in range(STREAMS)
    ]

    async with frozen_engines(shared):
        answers = asyncio.create_task(async_complete(shared, *calls))
        await async_wait_running(shared, entry)
        process_of(entry).send(signal.SIGTERM)
        await async_wait_unready(shared, entry)
        late = await async_send_letter(shared, entry, "sent by a late balancer")
        await asyncio.sleep(BALANCER_NOTICE_SECONDS + IDLE_SECONDS)
    outcomes = await answers

    assert_right(outcomes)
    assert late.status == 200
    assert await process_of(entry).process.wait() == 0
    await async_restart(shared, entry)


async def test_second_signal_ends_at_once_and_says_what_was_cut(
    shared: Deployment,
) -> None:
    entry = entry_of(shared, 1)
    calls = [
        make_call(prompt_with_long_answer(f"cut {number}"), entry=1)
        for number in range(STREAMS)
    ]

    async with frozen_engines(shared):
        answers = asyncio.create_task(async_complete(shared, *calls))
        await async_wait_running(shared, entry)
        process_of(entry).send(signal.SIGTERM)
        await async_wait_unready(shared, entry)
        process_of(entry).send(signal.SIGTERM)
        assert await process_of(entry).process.wait() == 1
    outcomes = await answers
    await process_of(entry).finish_output()

    assert not [outcome for outcome in outcomes if outcome.whole]
    said = [line for line in process_of(entry).output if "was cut off" in line]
    assert len(said) == STREAMS
    await async_restart(shared, entry)
