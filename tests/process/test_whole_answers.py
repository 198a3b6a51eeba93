"""Tests that each caller gets the whole answer to its own request."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from bench.callers import Outcome
from bench.deployment import Deployment, Vm
from bench.traffic import Call
from tests.process.common import (
    LONG_ANSWER_TOKENS,
    assert_right,
    async_complete,
    async_count_events,
    async_events,
    async_restart,
    async_runs,
    async_send_letter,
    entry_of,
    make_call,
    plain_of,
    process_of,
    prompt_with_long_answer,
    wait_until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

CALLS = 9
ROUNDS = 12
TOKENS_OUT = 6
RESET_AFTER_EVENTS = 5


def long_calls(name: str) -> list[Call]:
    """Return calls with long answers, spread over the entries."""
    return [
        make_call(
            prompt_with_long_answer(f"{name} {number}"),
            entry=number % 3,
            customer=number % 2,
            max_tokens=LONG_ANSWER_TOKENS,
        )
        for number in range(CALLS)
    ]


async def running_on(deployment: Deployment, vm: Vm) -> int:
    counters = await deployment.async_counters(process_of(vm))
    return len(counters.get("running", ()))


async def tokens_sent(deployment: Deployment) -> dict[str, int]:
    """Return the answer tokens that each engine has sent."""
    found = {}
    for vm in deployment.of_role("engine", "claims"):
        counters = await deployment.async_counters(process_of(vm))
        found[vm.vm_id] = counters["answer_tokens"]
    return found


async def busy_engine(deployment: Deployment, before: dict[str, int]) -> Vm:
    """Wait for an engine that runs requests and has sent some tokens of them."""
    found: list[Vm] = []

    async def is_found() -> bool:
        for vm in deployment.of_role("engine", "claims"):
            counters = await deployment.async_counters(process_of(vm))
            sent = counters["answer_tokens"] - before[vm.vm_id]
            if counters["running"] and sent >= TOKENS_OUT:
                found.append(vm)
        return bool(found)

    await wait_until(is_found)
    return found[0]


async def test_stream_goes_on_elsewhere_when_its_engine_dies(
    shared: Deployment,
) -> None:
    resumed_before = await async_count_events(shared, "request.resumed")
    tokens_before = await tokens_sent(shared)

    calls = asyncio.create_task(async_complete(shared, *long_calls("engine dies")))
    engine = await busy_engine(shared, tokens_before)
    await process_of(engine).kill()
    outcomes = await calls
    await async_restart(shared, engine)

    assert_right(outcomes)
    assert await async_count_events(shared, "request.resumed") > resumed_before


async def test_stream_goes_on_elsewhere_when_an_engine_resets(
    shared: Deployment,
) -> None:
    lost_before = await async_count_events(shared, "target.lost")
    tokens_before = await tokens_sent(shared)

    calls = asyncio.create_task(async_complete(shared, *long_calls("engine resets")))
    # An engine without a call would have nothing to reset.
    engine = process_of(await busy_engine(shared, tokens_before))
    await shared.async_set_fault(engine, "reset_mid_answer", after=RESET_AFTER_EVENTS)
    try:
        outcomes = await calls
    finally:
        await shared.async_set_fault(engine, "reset_mid_answer", on=False)

    assert_right(outcomes)
    assert await async_count_events(shared, "target.lost") > lost_before


async def test_dead_engine_that_is_still_listed_costs_no_answer(
    shared: Deployment,
) -> None:
    engine = shared.of_role("engine", "claims")[1]

    await process_of(engine).kill()
    outcomes = [
        outcome
        for number in range(ROUNDS)
        for outcome in await async_complete(
            shared,
            *(
                make_call(f"round {number} call {call}", entry=call % 3, max_tokens=4)
                for call in range(CALLS)
            ),
        )
    ]
    await async_restart(shared, engine)

    assert_right(outcomes)


async def test_crossed_events_never_reach_a_caller(shared: Deployment) -> None:
    engines = [process_of(vm) for vm in shared.of_role("engine", "claims")]
    lost_before = await async_count_events(shared, "target.lost")

    for engine in engines:
        await shared.async_set_fault(engine, "cross_answers", share=0.5, seed=7)
    try:
        outcomes = await async_complete(shared, *long_calls("crossed"))
    finally:
        for engine in engines:
            await shared.async_set_fault(engine, "cross_answers", on=False)

    assert not [outcome for outcome in outcomes if outcome.wrong]
    assert not [outcome for outcome in outcomes if not is_whole_or_told(outcome)]
    assert await async_count_events(shared, "target.lost") > lost_before
    assert_right(await async_complete(shared, *long_calls("no longer crossed")))


def is_whole_or_told(outcome: Outcome) -> bool:
    return outcome.whole or outcome.refusal == "target_lost: may have run"


async def test_work_of_a_caller_that_hangs_up_is_cancelled(
    shared: Deployment,
) -> None:
    prompt = prompt_with_long_answer("caller hangs up")
    tokens_before = await tokens_sent(shared)
    call = asyncio.create_task(
        async_complete(shared, make_call(prompt, max_tokens=LONG_ANSWER_TOKENS))
    )
    engine = await busy_engine(shared, tokens_before)
    before = await shared.async_counters(process_of(engine))
    call.cancel()
    with suppress(asyncio.CancelledError):
        await call

    async def is_cancelled() -> bool:
        counters = await shared.async_counters(process_of(engine))
        return bool(counters["cancelled"] > before["cancelled"])

    await wait_until(is_cancelled)
    assert not await running_on(shared, engine)


async def test_call_that_may_not_be_repeated_outlives_its_caller(
    shared: Deployment,
) -> None:
    body, key = "demand whose caller hangs up", "key-hang-up"
    entry, plain = entry_of(shared, 0), plain_of(shared)
    sent_before = len(await async_events(shared, entry, "request.sent"))

    async def is_sent() -> bool:
        return len(await async_events(shared, entry, "request.sent")) > sent_before

    plain.freeze()
    try:
        call = asyncio.create_task(async_send_letter(shared, entry, body, key))
        await wait_until(is_sent)
        call.cancel()
        with suppress(asyncio.CancelledError):
            await call
    finally:
        plain.thaw()

    async def is_recorded() -> bool:
        answer = await async_send_letter(shared, entry_of(shared, 1), body, key)
        assert answer.status == 409
        return answer.run == "ran"

    await wait_until(is_recorded)
    assert await async_runs(shared, body) == 1
