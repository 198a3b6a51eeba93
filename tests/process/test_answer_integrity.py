"""Tests that each caller gets the complete answer to its own request."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from bench.callers import Outcome
from bench.deployment import Deployment, Vm
from bench.traffic import Call
from tests.process.common import (
    LONG_ANSWER_TOKENS,
    assert_correct,
    async_complete,
    async_count_events,
    async_count_runs,
    async_restart,
    async_send_plain_call,
    async_timeline_events,
    async_wait_until,
    entry_of,
    make_call,
    plain_service_process,
    process_of,
    prompt_with_long_answer,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

CALL_COUNT = 9
ROUND_COUNT = 12
MIN_TOKENS_SENT = 6
RESET_AFTER_EVENTS = 5


def long_calls(name: str) -> list[Call]:
    """Return calls with long answers, distributed over the entries."""
    return [
        make_call(
            prompt_with_long_answer(f"{name} {number}"),
            entry=number % 3,
            customer=number % 2,
            max_tokens=LONG_ANSWER_TOKENS,
        )
        for number in range(CALL_COUNT)
    ]


async def async_count_running(deployment: Deployment, vm: Vm) -> int:
    counters = await deployment.async_counters(process_of(vm))
    return len(counters.get("running", ()))


async def async_count_tokens_sent(deployment: Deployment) -> dict[str, int]:
    """Return the number of answer tokens that each engine has sent."""
    found = {}
    for vm in deployment.of_role("engine", "claims"):
        counters = await deployment.async_counters(process_of(vm))
        found[vm.vm_id] = counters["answer_tokens"]
    return found


async def async_wait_for_busy_engine(
    deployment: Deployment, before: dict[str, int]
) -> Vm:
    """Wait for a busy engine that has sent at least ``MIN_TOKENS_SENT`` tokens."""
    found: list[Vm] = []

    async def is_found() -> bool:
        for vm in deployment.of_role("engine", "claims"):
            counters = await deployment.async_counters(process_of(vm))
            sent = counters["answer_tokens"] - before[vm.vm_id]
            if counters["running"] and sent >= MIN_TOKENS_SENT:
                found.append(vm)
        return bool(found)

    await async_wait_until(is_found)
    return found[0]


async def test_stream_resumes_on_another_engine_after_crash(
    deployment: Deployment,
) -> None:
    resumed_before = await async_count_events(deployment, "request.resumed")
    tokens_before = await async_count_tokens_sent(deployment)

    calls = asyncio.create_task(async_complete(deployment, *long_calls("engine dies")))
    engine = await async_wait_for_busy_engine(deployment, tokens_before)
    await process_of(engine).kill()
    outcomes = await calls
    await async_restart(deployment, engine)

    assert_correct(outcomes)
    assert await async_count_events(deployment, "request.resumed") > resumed_before


async def test_stream_resumes_on_another_engine_after_reset(
    deployment: Deployment,
) -> None:
    lost_before = await async_count_events(deployment, "target.lost")
    tokens_before = await async_count_tokens_sent(deployment)

    calls = asyncio.create_task(
        async_complete(deployment, *long_calls("engine resets"))
    )
    # The engine must have a call in progress, otherwise there is nothing to reset.
    engine = process_of(await async_wait_for_busy_engine(deployment, tokens_before))
    await deployment.async_set_fault(
        engine, "reset_mid_answer", after=RESET_AFTER_EVENTS
    )
    try:
        outcomes = await calls
    finally:
        await deployment.async_set_fault(engine, "reset_mid_answer", on=False)

    # The reset breaks off a stream, so complete answers mean that it was resumed.
    assert_correct(outcomes)
    assert await async_count_events(deployment, "target.lost") > lost_before


async def test_no_call_fails_while_killed_engine_is_listed(
    deployment: Deployment,
) -> None:
    engine = deployment.of_role("engine", "claims")[1]

    await process_of(engine).kill()
    outcomes = [
        outcome
        for number in range(ROUND_COUNT)
        for outcome in await async_complete(
            deployment,
            *(
                make_call(f"round {number} call {call}", entry=call % 3, max_tokens=4)
                for call in range(CALL_COUNT)
            ),
        )
    ]
    await async_restart(deployment, engine)

    assert_correct(outcomes)


async def test_swapped_events_never_reach_a_caller(deployment: Deployment) -> None:
    """The engines label some events with the id of another request."""
    engines = [process_of(vm) for vm in deployment.of_role("engine", "claims")]
    lost_before = await async_count_events(deployment, "target.lost")

    for engine in engines:
        await deployment.async_set_fault(engine, "cross_answers", share=0.5, seed=7)
    try:
        outcomes = await async_complete(deployment, *long_calls("swapped"))
    finally:
        for engine in engines:
            await deployment.async_set_fault(engine, "cross_answers", on=False)

    assert not [outcome for outcome in outcomes if outcome.wrong]
    assert not [outcome for outcome in outcomes if not is_complete_or_reported(outcome)]
    assert await async_count_events(deployment, "target.lost") > lost_before
    assert_correct(await async_complete(deployment, *long_calls("no longer swapped")))


def is_complete_or_reported(outcome: Outcome) -> bool:
    return outcome.whole or outcome.failure == "target_lost: may have run"


async def test_request_is_cancelled_when_caller_disconnects(
    deployment: Deployment,
) -> None:
    prompt = prompt_with_long_answer("caller hangs up")
    tokens_before = await async_count_tokens_sent(deployment)
    call = asyncio.create_task(
        async_complete(deployment, make_call(prompt, max_tokens=LONG_ANSWER_TOKENS))
    )
    engine = await async_wait_for_busy_engine(deployment, tokens_before)
    before = await deployment.async_counters(process_of(engine))
    call.cancel()
    with suppress(asyncio.CancelledError):
        await call

    async def is_cancelled() -> bool:
        counters = await deployment.async_counters(process_of(engine))
        return bool(counters["cancelled"] > before["cancelled"])

    await async_wait_until(is_cancelled)
    assert not await async_count_running(deployment, engine)


async def test_non_repeatable_call_continues_after_caller_disconnects(
    deployment: Deployment,
) -> None:
    body, key = "demand whose caller hangs up", "key-hang-up"
    entry, plain = entry_of(deployment, 0), plain_service_process(deployment)
    sent_before = len(await async_timeline_events(deployment, entry, "request.sent"))

    async def is_sent() -> bool:
        return (
            len(await async_timeline_events(deployment, entry, "request.sent"))
            > sent_before
        )

    plain.freeze()
    try:
        call = asyncio.create_task(async_send_plain_call(deployment, entry, body, key))
        await async_wait_until(is_sent)
        call.cancel()
        with suppress(asyncio.CancelledError):
            await call
    finally:
        plain.thaw()

    async def is_recorded() -> bool:
        answer = await async_send_plain_call(
            deployment, entry_of(deployment, 1), body, key
        )
        assert answer.status == 409
        return answer.run_state == "ran"

    await async_wait_until(is_recorded)
    assert await async_count_runs(deployment, body) == 1
