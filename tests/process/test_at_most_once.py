"""Tests that a call that must not be repeated runs at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from bench.deployment import Deployment
from tests.process.common import (
    PlainAnswer,
    async_count_runs,
    async_restart,
    async_send_plain_call,
    async_timeline_events,
    async_wait_until,
    entry_of,
    plain_service_process,
    process_of,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

KEY_COUNT = 12
LOST_ANSWER_SHARE = 0.4


async def async_send_through_all_entries(
    deployment: Deployment, body: str, key: str, times: int = 1
) -> list[PlainAnswer]:
    entries = deployment.of_role("entry") * times
    return await asyncio.gather(
        *(async_send_plain_call(deployment, vm, body, key) for vm in entries)
    )


async def async_check_runs(
    deployment: Deployment, body: str, answers: list[PlainAnswer]
) -> None:
    """Check that the number of runs of a body agrees with all its answers."""
    runs = await async_count_runs(deployment, body)
    assert runs <= 1
    assert sum(answer.status == 200 for answer in answers) <= runs
    if all(answer.run_state == "not run" for answer in answers):
        assert runs == 0


async def async_send_until(
    deployment: Deployment,
    number: int,
    body: str,
    key: str,
    is_expected: Callable[[PlainAnswer], bool],
) -> list[PlainAnswer]:
    """Repeat a call through one entry until its answer is as expected."""
    answers: list[PlainAnswer] = []

    async def is_answered() -> bool:
        vm = entry_of(deployment, number)
        answers.append(await async_send_plain_call(deployment, vm, body, key))
        return is_expected(answers[-1])

    await async_wait_until(is_answered)
    return answers


def is_settled(answer: PlainAnswer) -> bool:
    """Return whether the call has its final outcome, so that no repetition runs it."""
    return answer.status == 200 or (answer.status == 409 and not answer.retry_after)


def is_executed_or_duplicate(answer: PlainAnswer) -> bool:
    """Return whether the call ran or was rejected because its key is in use."""
    return answer.status in (200, 409)


async def test_key_runs_once_across_entries(deployment: Deployment) -> None:
    body, key = "request sent through all entries", "key-everywhere"

    at_once = await async_send_through_all_entries(deployment, body, key, times=4)
    later = await async_send_through_all_entries(deployment, body, key)

    assert sum(answer.status == 200 for answer in at_once) == 1
    assert {answer.status for answer in later} == {409}
    assert {answer.code for answer in later} == {"duplicate"}
    assert not [
        a for a in at_once + later if a.status == 409 and a.run_state == "not run"
    ]
    assert await async_count_runs(deployment, body) == 1


async def test_lost_platform_answers_cause_no_second_run(
    deployment: Deployment,
) -> None:
    bodies = [f"demand {number} under lost answers" for number in range(KEY_COUNT)]
    fault = {"share": LOST_ANSWER_SHARE, "seed": 3}

    await deployment.async_set_fault(deployment.platform, "lose_answers", **fault)
    try:
        answers = await asyncio.gather(
            *(
                async_send_through_all_entries(deployment, body, f"key of {body}")
                for body in bodies
            )
        )
    finally:
        await deployment.async_set_fault(deployment.platform, "lose_answers", on=False)
    for body, found in zip(bodies, answers, strict=True):
        await async_check_runs(deployment, body, found)
    for number, body in enumerate(bodies):
        found = await async_send_until(
            deployment, number % 3, body, f"key of {body}", is_settled
        )
        answers[number] += found
        await async_check_runs(deployment, body, answers[number])
        assert await async_count_runs(deployment, body) == 1


async def test_outage_refusal_reports_not_run(deployment: Deployment) -> None:
    body, key = "demand during the outage", "key-outage"

    await deployment.async_set_fault(deployment.platform, "outage")
    try:
        refused = await async_send_through_all_entries(deployment, body, key)
    finally:
        await deployment.async_set_fault(deployment.platform, "outage", on=False)
    for answer in refused:
        assert (answer.status, answer.run_state) == (503, "not run")
        assert answer.code == "reservation_unavailable"
        assert int(answer.retry_after) >= 1
    assert await async_count_runs(deployment, body) == 0

    answers = await async_send_until(deployment, 1, body, key, is_settled)

    assert answers[-1].status == 200
    assert await async_count_runs(deployment, body) == 1


@pytest.mark.parametrize("key", ["key-reset", ""])
async def test_connection_reset_after_run_is_not_retried(
    deployment: Deployment, key: str
) -> None:
    body = f"certificate that is reset with key {key!r}"
    plain = plain_service_process(deployment)

    await deployment.async_set_fault(plain, "reset_mid_answer", after=0)
    try:
        first = await async_send_plain_call(
            deployment, entry_of(deployment, 0), body, key
        )
    finally:
        await deployment.async_set_fault(plain, "reset_mid_answer", on=False)

    assert (first.status, first.run_state) == (502, "may have run")
    if key:
        again = await async_send_through_all_entries(deployment, body, key)
        assert {(a.status, a.run_state) for a in again} == {(409, "may have run")}
    assert await async_count_runs(deployment, body) == 1


async def test_swapped_answer_is_not_delivered(deployment: Deployment) -> None:
    """The plain service labels its answer with the id of another request."""
    body, plain = "certificate with a swapped answer", plain_service_process(deployment)

    await deployment.async_set_fault(plain, "cross_answers", share=1.0, seed=1)
    try:
        answer = await async_send_plain_call(
            deployment, entry_of(deployment, 0), body, "key-cross"
        )
    finally:
        await deployment.async_set_fault(plain, "cross_answers", on=False)

    assert (answer.status, answer.run_state) == (502, "may have run")
    assert await async_count_runs(deployment, body) == 1


async def test_entry_killed_after_sending_causes_no_second_run(
    deployment: Deployment,
) -> None:
    body, key = "demand whose entry dies", "key-killed"
    entry, plain = entry_of(deployment, 2), plain_service_process(deployment)
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
        await process_of(entry).kill()
    finally:
        plain.thaw()
    lost = await call
    others = [entry_of(deployment, number) for number in (0, 1)]
    again = [await async_send_plain_call(deployment, vm, body, key) for vm in others]
    await async_restart(deployment, entry)
    again += await async_send_until(deployment, 2, body, key, is_executed_or_duplicate)

    assert lost.status == 0
    assert not [answer for answer in again if answer.status == 200]
    assert again[-1].run_state == "may have run"
    assert await async_count_runs(deployment, body) <= 1


async def test_entry_killed_under_load_causes_no_second_run(
    deployment: Deployment,
) -> None:
    bodies = [f"request {number} under load" for number in range(40)]
    entry = entry_of(deployment, 1)

    async def send(number: int) -> list[PlainAnswer]:
        body, key = bodies[number], f"key-rush-{number}"
        answer = await async_send_plain_call(deployment, entry, body, key)
        # Kill the entry after an arbitrary call, while others may be running.
        if number == KEY_COUNT:
            await process_of(entry).kill()
        return [answer]

    answers = await asyncio.gather(*(send(number) for number in range(len(bodies))))
    for number, body in enumerate(bodies):
        key = f"key-rush-{number}"
        answers[number] += await async_send_until(
            deployment, 0, body, key, is_executed_or_duplicate
        )
        await async_check_runs(deployment, body, answers[number])
    await async_restart(deployment, entry)

    assert process_of(entry).is_running
