"""Tests of the graceful and the immediate shutdown of an entry."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
import os
import signal

import httpx
import pytest

from bench.deployment import OPERATOR_KEY, Deployment, Vm
from gypsumsail.membership.drain import BALANCER_NOTICE_SECONDS, IDLE_SECONDS
from tests.process.common import (
    LONG_ANSWER_TOKENS,
    assert_correct,
    async_complete,
    async_count_runs,
    async_restart,
    async_send_plain_call,
    async_wait_until,
    entry_of,
    make_call,
    plain_service_process,
    process_of,
    prompt_with_long_answer,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

STREAM_COUNT = 4
SIGNAL_INTERVAL_SECONDS = 0.002


async def async_wait_streams_running(
    deployment: Deployment, entry: Vm, count: int = STREAM_COUNT
) -> None:
    """Wait until an entry reports all streams as running requests."""

    async def are_running() -> bool:
        response = await deployment.client.get(
            f"{entry.url}/operator/status",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        return bool(response.json()["requests"] == count)

    await async_wait_until(are_running)


async def async_wait_not_ready(deployment: Deployment, entry: Vm) -> None:
    """Wait until the readiness check fails, so that balancers stop using the entry."""

    async def is_not_ready() -> bool:
        response = await deployment.client.get(f"{entry.url}/ready")
        return response.status_code == httpx.codes.SERVICE_UNAVAILABLE

    await async_wait_until(is_not_ready)


@asynccontextmanager
async def frozen_engines(deployment: Deployment) -> AsyncIterator[None]:
    """Freeze all engines inside the context."""
    engines = [process_of(vm) for vm in deployment.of_role("engine", "claims")]
    for engine in engines:
        engine.freeze()
    try:
        yield
    finally:
        for engine in engines:
            engine.thaw()


async def test_first_signal_completes_all_streams(deployment: Deployment) -> None:
    entry = entry_of(deployment, 0)
    calls = [
        make_call(
            prompt_with_long_answer(f"stream {number}"), max_tokens=LONG_ANSWER_TOKENS
        )
        for number in range(STREAM_COUNT)
    ]

    async with frozen_engines(deployment):
        answers = asyncio.create_task(async_complete(deployment, *calls))
        await async_wait_streams_running(deployment, entry)
        process_of(entry).send_signal(signal.SIGTERM)
        await async_wait_not_ready(deployment, entry)
        late = await async_send_plain_call(deployment, entry, "sent when not ready")
        # Keep the streams open beyond the time after which an idle entry would stop.
        await asyncio.sleep(BALANCER_NOTICE_SECONDS + IDLE_SECONDS)
    outcomes = await answers

    assert_correct(outcomes)
    assert late.status == 200
    assert await process_of(entry).process.wait() == 0
    await async_restart(deployment, entry)


async def test_stopping_entry_refuses_a_request_that_could_be_cut_off(
    deployment: Deployment,
) -> None:
    """LOST: it was taken on a connection that was still open, and cut at the limit."""
    entry = entry_of(deployment, 0)
    plain = plain_service_process(deployment)
    plain.freeze()
    try:
        running = asyncio.create_task(
            async_send_plain_call(deployment, entry, "in progress", deadline_seconds=20)
        )
        await async_wait_streams_running(deployment, entry, 1)
        process_of(entry).send_signal(signal.SIGTERM)
        await async_wait_not_ready(deployment, entry)
        await asyncio.sleep(BALANCER_NOTICE_SECONDS)
        refused = await async_send_plain_call(
            deployment, entry, "sent too late", deadline_seconds=60
        )
    finally:
        plain.thaw()
    served = await async_send_plain_call(
        deployment, entry, "sent with little time", deadline_seconds=10
    )

    assert (refused.status, refused.code) == (503, "stopping")
    assert refused.run_state == "not run"
    assert refused.retry_after
    assert await async_count_runs(deployment, "sent too late") == 0
    assert (await running).status == 200
    assert served.status == 200
    assert await process_of(entry).process.wait() == 0
    await async_restart(deployment, entry)


async def test_second_signal_exits_immediately_and_logs_aborted_streams(
    deployment: Deployment,
) -> None:
    entry = entry_of(deployment, 1)
    calls = [
        make_call(prompt_with_long_answer(f"cut {number}"), entry=1)
        for number in range(STREAM_COUNT)
    ]

    async with frozen_engines(deployment):
        answers = asyncio.create_task(async_complete(deployment, *calls))
        await async_wait_streams_running(deployment, entry)
        process_of(entry).send_signal(signal.SIGTERM)
        await async_wait_not_ready(deployment, entry)
        process_of(entry).send_signal(signal.SIGTERM)
        assert await process_of(entry).process.wait() == 1
    outcomes = await answers
    await process_of(entry).finish_output()

    assert not [outcome for outcome in outcomes if outcome.whole]
    log_lines = [line for line in process_of(entry).output if "was cut off" in line]
    assert len(log_lines) == STREAM_COUNT
    await async_restart(deployment, entry)


async def test_idle_entry_exits_cleanly_though_signals_are_repeated(
    deployment: Deployment,
) -> None:
    entry = entry_of(deployment, 0)
    process = process_of(entry).process
    exited = asyncio.create_task(process.wait())
    while not exited.done():
        # The method of the process would collect the exit code if it has just ended.
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGTERM)
        await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
    assert await exited == 0
    await async_restart(deployment, entry)
