"""Tests of the calls that a VM still sends to targets while it stops."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.gateway.const import STOP_MARGIN_SECONDS
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.models import CallKind
from tests.gateway.common import (
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    gateway,
    route,
    target,
)

ANSWER_SECONDS = 2.0
PAUSE_SECONDS = 0.8


def stopping_gateway(
    *answers: ScriptedExchange, seconds_left: float
) -> tuple[Gateway, ScriptedTargets]:
    """Return a gateway whose VM exits soon and knows how long answers take."""
    targets = ScriptedTargets(*answers)
    routing = document(route(kind=CallKind.ONCE))
    found = gateway(targets, target(), routing=routing)
    found.view.targets.answer_time("r").observe(ANSWER_SECONDS)
    found.view.exits_at = found.clock.monotonic() + seconds_left
    return found, targets


async def served(found: Gateway, deadline_seconds: float = 4.0) -> RecordedReply:
    """Return the reply to a call that arrives now."""
    reply = RecordedReply()
    now = found.clock.monotonic()
    its_call = call(now=now, deadline=now + deadline_seconds)
    async with asyncio.timeout(4.0):
        await found.async_handle(its_call, reply)
    return reply


async def test_call_that_can_be_answered_before_the_exit_is_sent() -> None:
    left = ANSWER_SECONDS + STOP_MARGIN_SECONDS + 0.5
    found, targets = stopping_gateway(ScriptedExchange(), seconds_left=left)
    reply = await served(found)
    assert reply.status == 200
    assert len(targets.sent) == 1


async def test_call_whose_answer_comes_after_the_exit_is_refused_as_not_run() -> None:
    """LOST: it was sent, and cut at the exit."""
    found, targets = stopping_gateway(ScriptedExchange(), seconds_left=ANSWER_SECONDS)
    reply = await served(found)
    assert reply.status == 503
    assert float(dict(reply.headers)[b"retry-after"]) < 0.5
    assert not targets.sent


async def test_call_whose_caller_leaves_before_the_exit_is_sent() -> None:
    found, targets = stopping_gateway(ScriptedExchange(), seconds_left=ANSWER_SECONDS)
    reply = await served(found, deadline_seconds=ANSWER_SECONDS / 2)
    assert reply.status == 200
    assert len(targets.sent) == 1


async def test_call_of_a_route_whose_answers_are_not_known_yet_is_refused() -> None:
    found, targets = stopping_gateway(ScriptedExchange(), seconds_left=1.0)
    found.view.targets.answer_times.clear()
    assert (await served(found)).status == 503
    assert not targets.sent


@pytest.mark.parametrize("is_told", [True, False])
async def test_call_that_waits_is_refused_as_soon_as_its_answer_comes_too_late(
    is_told: bool,
) -> None:
    """LOST: calls in the queue were placed until the exit."""
    found, targets = stopping_gateway(ScriptedExchange(), seconds_left=9.0)
    (state,) = found.view.targets.states.values()
    state.paused_until = found.clock.monotonic() + PAUSE_SECONDS
    waiting = asyncio.create_task(served(found))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    found.view.exits_at = found.clock.monotonic() + ANSWER_SECONDS
    if is_told:
        found.dispatch()
    async with asyncio.timeout(PAUSE_SECONDS / 2):
        reply = await waiting
    assert reply.status == 503
    assert not targets.sent
