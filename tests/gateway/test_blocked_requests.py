"""Tests of calls whose request is blocked while they wait or are served."""

from __future__ import annotations

import asyncio

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.coordinator import Gateway
from tests.gateway.common import (
    PORTAL,
    RecordedReply,
    ScriptedExchange,
    ScriptedTargets,
    call,
    document,
    gateway,
    route,
    target,
)

BROKEN = TransportError("reset", sent=True)


def crash(gw: Gateway, fingerprint: str, *lives: int) -> None:
    """Record that other VMs report crashes of a request."""
    for life in lives:
        gw.crash_suspects.record_reported(fingerprint, "e", life, gw.clock.monotonic())


async def test_copies_that_wait_for_a_target_are_refused_once_it_is_blocked() -> None:
    """BUDGET: all copies that were accepted before the third crash went out."""
    calls = ScriptedTargets(*(ScriptedExchange() for _ in range(5)))
    gw = gateway(calls, target())
    gw.view.knows_notices = lambda now: False
    replies = [RecordedReply() for _ in range(5)]
    tasks = [
        asyncio.create_task(gw.async_handle(call(request_id=f"id-{number}"), reply))
        for number, reply in enumerate(replies)
    ]
    await asyncio.sleep(0)
    crash(gw, next(iter(gw.jobs.values())).fingerprint, 1, 2, 3)
    gw.view.knows_notices = lambda now: True
    gw.dispatch()
    await asyncio.gather(*tasks)
    assert [reply.status for reply in replies] == [503] * 5
    assert not calls.sent
    assert not gw.queues[PORTAL].entries


async def test_request_that_is_blocked_by_a_crash_gets_no_second_target() -> None:
    """BUDGET: the verdict was asked at the acceptance only."""
    lost = ScriptedExchange(head_error=BROKEN)
    lost.delay = 0.05
    calls = ScriptedTargets(lost, ScriptedExchange())
    gw = gateway(calls, target("t1"), target("t2"), routing=document(route()))
    reply = RecordedReply()
    sending = asyncio.create_task(gw.async_handle(call(), reply))
    await asyncio.sleep(0.02)
    crash(gw, next(iter(gw.jobs.values())).fingerprint, 2, 3)
    await sending
    assert reply.status == 502
    assert len(calls.sent) == 1
