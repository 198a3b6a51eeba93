"""Tests of the way of one call."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import ENGINE_PRIORITY
from gypsumsail.gateway.coordinator import GatewaySettings
from gypsumsail.gateway.models import CallKind
from gypsumsail.gateway.retry_budget import RetryLimit
from tests.gateway.common import (
    ENGINES,
    MODEL,
    PORTAL,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    engine,
    gateway,
    prompt,
    route,
    stream_route,
    target,
)

BROKEN = TransportError("reset", sent=True)
REFUSED = TransportError("connect", sent=False)
EVENTS: list[bytes | Exception] = [b"id: 1\n\nid: 2\n", b"\nid: 3\n\n"]


def stream(*pieces: bytes | Exception, **changes: object) -> ScriptedExchange:
    return ScriptedExchange(body=list(pieces or EVENTS), weight_version=1, **changes)  # type: ignore[arg-type]


async def test_a_plain_answer_goes_on_whole() -> None:
    calls = ScriptedTargets(ScriptedExchange(body=[b"an", b"swer"]))
    reply = RecordedReply()
    await gateway(calls, target()).async_handle(call(), reply)
    assert (reply.status, reply.body, reply.is_whole) == (200, b"answer", True)
    assert reply.headers == ((b"x-signature", b"s"),)
    assert calls.sent[0].terms.customer == "a"
    assert calls.sent[0].terms.time_left == pytest.approx(4.0, abs=0.05)


async def test_the_time_of_the_route_ends_before_the_callers() -> None:
    calls = ScriptedTargets(ScriptedExchange())
    found = document(route(timeout=1.5))
    await gateway(calls, target(), routing=found).async_handle(call(), RecordedReply())
    assert calls.sent[0].terms.time_left == pytest.approx(1.5, abs=0.05)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"api_key": "other"}, 401),
        ({"api_key": ""}, 401),
        ({"path": "/b/x"}, 404),
        ({"host": "other.example"}, 404),
        ({"request_id": ""}, 400),
    ],
)
async def test_what_is_not_allowed_reaches_no_target(
    changes: dict[str, Any], status: int
) -> None:
    calls = ScriptedTargets()
    reply = RecordedReply()
    await gateway(calls, target()).async_handle(call(**changes), reply)
    assert reply.status == status
    assert not calls.sent


async def test_without_a_document_the_call_is_not_run() -> None:
    made = gateway(ScriptedTargets(), target())
    made.document = None
    reply = RecordedReply()
    await made.async_handle(call(), reply)
    assert reply.status == 503
    assert reply.headers[0][0] == b"retry-after"


async def test_without_targets_a_call_is_refused_at_once() -> None:
    reply = RecordedReply()
    async with asyncio.timeout(0.5):
        await gateway(ScriptedTargets()).async_handle(call(), reply)
    assert reply.status == 503
    assert reply.headers[0][0] == b"retry-after"


async def test_a_failure_to_connect_counts_as_no_send() -> None:
    calls = ScriptedTargets(REFUSED, ScriptedExchange())
    found = document(route(kind=CallKind.ONCE, max_targets=1))
    reply = RecordedReply()
    made = gateway(calls, target("t1"), target("t2"), routing=found)
    await made.async_handle(call(), reply)
    assert reply.status == 200
    assert len(calls.sent) == 1


async def test_a_call_that_may_run_once_is_not_sent_again_after_a_reset() -> None:
    calls = ScriptedTargets(ScriptedExchange(head_error=BROKEN), ScriptedExchange())
    found = document(route(kind=CallKind.ONCE))
    reply = RecordedReply()
    made = gateway(calls, target("t1"), target("t2"), routing=found)
    await made.async_handle(call(), reply)
    assert reply.status == 502
    assert len(calls.sent) == 1


async def test_a_repeatable_call_goes_to_another_target_after_a_reset() -> None:
    calls = ScriptedTargets(ScriptedExchange(head_error=BROKEN), ScriptedExchange())
    reply = RecordedReply()
    await gateway(calls, target("t1"), target("t2")).async_handle(call(), reply)
    assert reply.status == 200
    assert {sent.target.name for sent in calls.sent} == {"t1", "t2"}


async def test_a_repeatable_call_is_sent_to_no_more_targets_than_allowed() -> None:
    answers = [ScriptedExchange(head_error=BROKEN) for _ in range(3)]
    calls = ScriptedTargets(*answers)
    reply = RecordedReply()
    names = [target(f"t{number}") for number in range(3)]
    await gateway(calls, *names).async_handle(call(), reply)
    assert reply.status == 502
    assert len(calls.sent) == 2


async def test_a_failure_of_the_target_goes_on_when_no_other_may_be_tried() -> None:
    calls = ScriptedTargets(ScriptedExchange(status=500, body=[b"why"]))
    found = document(route(max_targets=1))
    reply = RecordedReply()
    await gateway(calls, target(), routing=found).async_handle(call(), reply)
    assert (reply.status, reply.body) == (500, b"why")


@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_a_status_that_promises_needs_the_targets_own_word(status: int) -> None:
    calls = ScriptedTargets(ScriptedExchange(status=status, target_name="t1"))
    found = document(route(kind=CallKind.ONCE, max_targets=1))
    reply = RecordedReply()
    await gateway(calls, target(), routing=found).async_handle(call(), reply)
    assert reply.status == 502


async def test_a_rejected_call_is_refused_with_a_time_to_come_back() -> None:
    calls = ScriptedTargets(ScriptedExchange(status=503, says_not_run=True))
    found = document(route(kind=CallKind.ONCE, max_targets=1))
    reply = RecordedReply()
    await gateway(calls, target(), routing=found).async_handle(call(), reply)
    assert reply.status == 503
    assert reply.headers[0][0] == b"retry-after"


async def test_a_rejection_after_a_run_promises_nothing() -> None:
    calls = ScriptedTargets(
        ScriptedExchange(head_error=BROKEN),
        ScriptedExchange(status=503, says_not_run=True),
    )
    reply = RecordedReply()
    await gateway(calls, target("t1"), target("t2")).async_handle(call(), reply)
    assert reply.status == 502


async def test_another_target_at_the_address_does_not_count() -> None:
    calls = ScriptedTargets(
        ScriptedExchange(status=421, is_wrong_target=True, target_name="other"),
        ScriptedExchange(),
    )
    found = document(route(kind=CallKind.ONCE, max_targets=1))
    reply = RecordedReply()
    made = gateway(calls, target("t1"), target("t2"), routing=found)
    await made.async_handle(call(), reply)
    assert reply.status == 200
    assert len(made.view.targets.states) == 1


async def test_an_unsigned_success_does_not_go_on() -> None:
    calls = ScriptedTargets(ScriptedExchange(is_signed=False))
    found = document(route(max_targets=1))
    reply = RecordedReply()
    await gateway(calls, target(), routing=found).async_handle(call(), reply)
    assert reply.status == 502


async def test_a_stream_goes_on_event_by_event() -> None:
    calls = ScriptedTargets(stream())
    reply = RecordedReply()
    made = gateway(calls, engine())
    await made.async_handle(call("/s/x", prompt=prompt()), reply)
    assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert reply.is_whole
    assert calls.sent[0].terms.weight_version == 1
    assert calls.sent[0].terms.cache_scope == "1"


async def test_half_an_event_is_not_passed_on_and_never_looks_whole() -> None:
    calls = ScriptedTargets(stream(b"id: 1\n\nid: 2", BROKEN))
    reply = RecordedReply()
    made = gateway(calls, engine())
    await made.async_handle(call("/s/x", prompt=prompt()), reply)
    assert reply.body == b"id: 1\n\n"
    assert reply.is_aborted
    assert not reply.is_whole


async def test_a_stream_that_ends_inside_an_event_is_not_whole() -> None:
    calls = ScriptedTargets(stream(b"id: 1\n\nid: 2"))
    reply = RecordedReply()
    made = gateway(calls, engine())
    await made.async_handle(call("/s/x", prompt=prompt()), reply)
    assert reply.is_aborted


async def test_a_resumable_stream_goes_on_after_the_last_whole_event() -> None:
    calls = ScriptedTargets(
        stream(b"id: 1\n\nid: 2", BROKEN), stream(b"id: 2\n\n", b"id: 3\n\n")
    )
    found = document(stream_route(is_resumable=True))
    reply = RecordedReply()
    made = gateway(calls, engine("e1"), engine("e2"), routing=found)
    await made.async_handle(call("/s/x", prompt=prompt()), reply)
    assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
    assert reply.is_whole
    assert calls.sent[1].terms.resume_after == "1"


async def test_a_stream_is_not_resumed_on_other_weights() -> None:
    calls = ScriptedTargets(stream(b"id: 1\n\n", BROKEN), stream())
    found = document(stream_route(is_resumable=True))
    reply = RecordedReply()
    made = gateway(calls, engine("e1", 1), engine("e2", 2), routing=found)
    made.view.targets.states["e2"].blocked_until = 1_000.05
    await made.async_handle(call("/s/x", prompt=prompt()), reply)
    assert reply.is_aborted
    assert len(calls.sent) == 1


async def test_an_engine_with_other_weights_is_believed() -> None:
    calls = ScriptedTargets(
        ScriptedExchange(
            status=421, is_wrong_target=True, target_name="e1", weight_version=3
        )
    )
    made = gateway(calls, engine("e1", 1))
    reply = RecordedReply()
    await made.async_handle(call("/s/x", prompt=prompt()), reply)
    assert reply.status == 503
    assert made.view.targets.states["e1"].weight_versions == {MODEL: 3}


async def test_a_caller_that_leaves_ends_the_work_of_an_engine() -> None:
    exchange = ScriptedExchange(hangs=True)
    made = gateway(ScriptedTargets(exchange), engine())
    task = asyncio.create_task(
        made.async_handle(call("/s/x", prompt=prompt()), RecordedReply())
    )
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert exchange.is_finished
    assert not made.view.targets.states["e1"].in_flight


async def test_a_call_that_may_run_once_ends_without_its_caller() -> None:
    exchange = ScriptedExchange(hangs=True)
    found = document(route(kind=CallKind.ONCE))
    made = gateway(ScriptedTargets(exchange), target(), routing=found)
    task = asyncio.create_task(made.async_handle(call(), RecordedReply()))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not exchange.is_finished
    assert len(made.detached_tasks) == 1
    for left in made.detached_tasks:
        left.cancel()


async def test_a_silent_target_is_left_where_another_may_be_tried() -> None:
    silent = ScriptedExchange(hangs=True)
    calls = ScriptedTargets(silent, ScriptedExchange())
    reply = RecordedReply()
    async with asyncio.timeout(3.0):
        await gateway(calls, target("t1"), target("t2")).async_handle(call(), reply)
    assert reply.status == 200
    assert silent.is_aborted


async def test_a_call_at_its_end_gets_its_answer_at_once() -> None:
    silent = ScriptedExchange(hangs=True)
    found = document(route(kind=CallKind.ONCE, timeout=0.2))
    reply = RecordedReply()
    async with asyncio.timeout(1.0):
        made = gateway(ScriptedTargets(silent), target(), routing=found)
        await made.async_handle(call(), reply)
    assert reply.status == 504


async def test_repeats_stay_within_the_budget() -> None:
    answers = [ScriptedExchange(head_error=BROKEN) for _ in range(200)]
    calls = ScriptedTargets(*answers)
    made = gateway(calls, target("t1"), target("t2"))
    for _ in range(100):
        made.view.targets.states["t1"].failures = 0.0
        await made.async_handle(call(), RecordedReply())
    retries = len(calls.sent) - 100
    assert 0 < retries <= 0.2 * 100 + 54


async def test_a_request_that_broke_three_lives_is_refused() -> None:
    answers = [ScriptedExchange(head_error=BROKEN) for _ in range(8)]
    calls = ScriptedTargets(*answers)
    found = document(route(kind=CallKind.ONCE))
    made = gateway(calls, *(target(f"t{number}") for number in range(5)), routing=found)
    statuses = []
    for number in range(5):
        reply = RecordedReply()
        await made.async_handle(call(request_id=f"id-{number}"), reply)
        statuses.append(reply.status)
    assert statuses.count(503) >= 1
    assert len(calls.sent) <= 4


async def test_an_isolated_customer_shares_no_scope() -> None:
    calls = ScriptedTargets(stream())
    found = document(stream_route())
    assert found.customers_by_key is not None
    customers = {
        key: replace(customer, is_isolated=True)
        for key, customer in found.customers_by_key.items()
    }
    made = gateway(
        calls, engine(), routing=document(stream_route(), customers_by_key=customers)
    )
    await made.async_handle(call("/s/x", prompt=prompt()), RecordedReply())
    assert calls.sent[0].terms.cache_scope == "1/a"


async def test_lines_know_both_services() -> None:
    made = gateway(ScriptedTargets())
    assert set(made.queues) == {PORTAL, ENGINES}


async def test_a_target_that_serves_others_is_busy_and_not_left() -> None:
    """Calls that only waited at a busy engine were given up there, and failed."""
    slow = ScriptedExchange()
    slow.delay = 1.0
    calls = ScriptedTargets(slow, ScriptedExchange())
    reply = RecordedReply()
    made = gateway(calls, target("t1"), target("t2"))
    task = asyncio.create_task(made.async_handle(call(), reply))
    for _ in range(20):
        await asyncio.sleep(0.05)
        for state in made.view.targets.states.values():
            state.progress_at = made.clock.monotonic()
    await task
    assert reply.status == 200
    assert len(calls.sent) == 1


async def test_without_budget_a_silent_target_is_waited_for() -> None:
    slow = ScriptedExchange()
    slow.delay = 1.3
    calls = ScriptedTargets(slow, ScriptedExchange())
    made = gateway(calls, target("t1"), target("t2"))
    made.settings = GatewaySettings(
        retry_limit=RetryLimit(ratio=0.0, window=10.0, slack=0.0)
    )
    reply = RecordedReply()
    await made.async_handle(call(), reply)
    assert reply.status == 200
    assert len(calls.sent) == 1


@pytest.mark.parametrize("priority", [0, 3])
async def test_no_prompt_pushes_another_out_of_an_engine(priority: int) -> None:
    """Short urgent prompts at full engines made long ones be read twice."""
    calls = ScriptedTargets(stream(b"id: 1\n\n"))
    found = document(stream_route(priority=priority))
    made = gateway(calls, engine(), routing=found)
    await made.async_handle(call("/s/x", prompt=prompt()), RecordedReply())
    assert calls.sent[0].terms.priority == ENGINE_PRIORITY
