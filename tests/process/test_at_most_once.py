"""Tests that a call that may not be repeated runs at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from bench.deployment import Deployment
from tests.process.common import (
    Answer,
    async_events,
    async_restart,
    async_runs,
    async_send_letter,
    entry_of,
    plain_of,
    process_of,
    wait_until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

KEYS = 12
LOST_SHARE = 0.4


async def send_everywhere(
    deployment: Deployment, body: str, key: str, times: int = 1
) -> list[Answer]:
    entries = deployment.of_role("entry") * times
    return await asyncio.gather(
        *(async_send_letter(deployment, vm, body, key) for vm in entries)
    )


async def check_runs(deployment: Deployment, body: str, answers: list[Answer]) -> None:
    """Check the runs of a body against all that was answered for it."""
    runs = await async_runs(deployment, body)
    assert runs <= 1
    assert sum(answer.status == 200 for answer in answers) <= runs
    if all(answer.run == "not run" for answer in answers):
        assert runs == 0


async def send_until(
    deployment: Deployment,
    number: int,
    body: str,
    key: str,
    is_enough: Callable[[Answer], bool],
) -> list[Answer]:
    """Send a call through one entry until it gets such an answer."""
    answers: list[Answer] = []

    async def is_answered() -> bool:
        vm = entry_of(deployment, number)
        answers.append(await async_send_letter(deployment, vm, body, key))
        return is_enough(answers[-1])

    await wait_until(is_answered)
    return answers


def is_settled(answer: Answer) -> bool:
    """Return whether coming back won't change the answer."""
    return answer.status == 200 or (answer.status == 409 and not answer.retry_after)


def is_known(answer: Answer) -> bool:
    """Return whether the call ran or its key is known to be taken."""
    return answer.status in (200, 409)


async def test_one_key_runs_once_whichever_entry_gets_it(shared: Deployment) -> None:
    body, key = "demand of one flight", "key-everywhere"

    at_once = await send_everywhere(shared, body, key, times=4)
    later = await send_everywhere(shared, body, key)

    assert sum(answer.status == 200 for answer in at_once) == 1
    assert {answer.status for answer in later} == {409}
    assert {answer.code for answer in later} == {"duplicate"}
    assert not [a for a in at_once + later if a.status == 409 and a.run == "not run"]
    assert await async_runs(shared, body) == 1


async def test_lost_answers_of_the_platform_run_nothing_twice(
    shared: Deployment,
) -> None:
    bodies = [f"demand {number} under lost answers" for number in range(KEYS)]
    fault = {"share": LOST_SHARE, "seed": 3}

    await shared.async_set_fault(shared.platform, "lose_answers", **fault)
    try:
        answers = await asyncio.gather(
            *(send_everywhere(shared, body, f"key of {body}") for body in bodies)
        )
    finally:
        await shared.async_set_fault(shared.platform, "lose_answers", on=False)
    for body, found in zip(bodies, answers, strict=True):
        await check_runs(shared, body, found)
    for number, body in enumerate(bodies):
        found = await send_until(shared, number % 3, body, f"key of {body}", is_settled)
        answers[number] += found
        await check_runs(shared, body, answers[number])
        assert await async_runs(shared, body) == 1


async def test_outage_refuses_with_a_true_not_run(shared: Deployment) -> None:
    body, key = "demand during the outage", "key-outage"

    await shared.async_set_fault(shared.platform, "outage")
    try:
        refused = await send_everywhere(shared, body, key)
    finally:
        await shared.async_set_fault(shared.platform, "outage", on=False)
    for answer in refused:
        assert (answer.status, answer.run) == (503, "not run")
        assert answer.code == "reservation_unavailable"
        assert int(answer.retry_after) >= 1
    assert await async_runs(shared, body) == 0

    answers = await send_until(shared, 1, body, key, is_settled)

    assert answers[-1].status == 200
    assert await async_runs(shared, body) == 1


@pytest.mark.parametrize("key", ["key-reset", ""])
async def test_reset_after_the_run_is_not_sent_again(
    shared: Deployment, key: str
) -> None:
    body = f"certificate that is reset with key {key!r}"
    plain = plain_of(shared)

    await shared.async_set_fault(plain, "reset_mid_answer", after=0)
    try:
        first = await async_send_letter(shared, entry_of(shared, 0), body, key)
    finally:
        await shared.async_set_fault(plain, "reset_mid_answer", on=False)

    assert (first.status, first.run) == (502, "may have run")
    if key:
        again = await send_everywhere(shared, body, key)
        assert {(a.status, a.run) for a in again} == {(409, "may have run")}
    assert await async_runs(shared, body) == 1


async def test_crossed_answer_is_kept_from_its_caller(shared: Deployment) -> None:
    body, plain = "certificate with a crossed answer", plain_of(shared)

    await shared.async_set_fault(plain, "cross_answers", share=1.0, seed=1)
    try:
        answer = await async_send_letter(shared, entry_of(shared, 0), body, "key-cross")
    finally:
        await shared.async_set_fault(plain, "cross_answers", on=False)

    assert (answer.status, answer.run) == (502, "may have run")
    assert await async_runs(shared, body) == 1


async def test_entry_killed_after_sending_runs_nothing_twice(
    shared: Deployment,
) -> None:
    body, key = "demand whose entry dies", "key-killed"
    entry, plain = entry_of(shared, 2), plain_of(shared)
    sent_before = len(await async_events(shared, entry, "request.sent"))

    async def is_sent() -> bool:
        return len(await async_events(shared, entry, "request.sent")) > sent_before

    plain.freeze()
    try:
        call = asyncio.create_task(async_send_letter(shared, entry, body, key))
        await wait_until(is_sent)
        await process_of(entry).kill()
    finally:
        plain.thaw()
    lost = await call
    others = [entry_of(shared, number) for number in (0, 1)]
    again = [await async_send_letter(shared, vm, body, key) for vm in others]
    await async_restart(shared, entry)
    again += await send_until(shared, 2, body, key, is_known)

    assert lost.status == 0
    assert not [answer for answer in again if answer.status == 200]
    assert again[-1].run == "may have run"
    assert await async_runs(shared, body) <= 1


async def test_entry_killed_among_many_calls_runs_nothing_twice(
    shared: Deployment,
) -> None:
    bodies = [f"demand {number} of a rush" for number in range(40)]
    entry = entry_of(shared, 1)

    async def send(number: int) -> list[Answer]:
        body, key = bodies[number], f"key-rush-{number}"
        answer = await async_send_letter(shared, entry, body, key)
        if number == KEYS:
            await process_of(entry).kill()
        return [answer]

    answers = await asyncio.gather(*(send(number) for number in range(len(bodies))))
    for number, body in enumerate(bodies):
        key = f"key-rush-{number}"
        answers[number] += await send_until(shared, 0, body, key, is_known)
        await check_runs(shared, body, answers[number])
    await async_restart(shared, entry)

    assert process_of(entry).is_running
