"""Tests of how silent and unreachable targets are left and used again."""

from __future__ import annotations

import asyncio

from gypsumsail.core.errors import TransportError
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


async def test_a_target_that_takes_connections_is_not_left() -> None:
    """VMs that had no other call at a full engine gave their calls up there."""
    slow = ScriptedExchange()
    slow.delay = 1.3
    calls = ScriptedTargets(slow, ScriptedExchange())
    calls.is_connectable = True
    reply = RecordedReply()
    made = gateway(calls, target("t1"), target("t2"))
    await made.async_handle(call(), reply)
    assert reply.status == 200
    assert len(calls.sent) == 1
    assert calls.checked


async def test_an_answer_that_may_be_lost_is_not_waited_for_to_the_end() -> None:
    """The target takes connections and answers nothing; its caller has 4 s."""
    silent = ScriptedExchange(hangs=True)
    calls = ScriptedTargets(silent, ScriptedExchange())
    calls.is_connectable = True
    reply = RecordedReply()
    async with asyncio.timeout(3.0):
        made = gateway(calls, target("t1"), target("t2"))
        await made.async_handle(call(), reply)
    assert reply.status == 200
    assert silent.is_aborted


async def test_a_call_leaves_a_target_that_near_vms_can_not_reach() -> None:
    silent = ScriptedExchange(hangs=True)
    calls = ScriptedTargets(silent, ScriptedExchange())
    reply = RecordedReply()
    made = gateway(calls, target("t1"), target("t2"))
    task = asyncio.create_task(made.async_handle(call(), reply))
    await asyncio.sleep(0.05)
    state = made.view.targets.states[calls.sent[0].target.name]
    now = made.clock.monotonic()
    state.unreachable_reports.update(v2=now, v3=now)
    async with asyncio.timeout(0.4):
        await task
    assert reply.status == 200


async def test_a_target_that_could_not_be_connected_gets_a_check_and_then_calls() -> (
    None
):
    """Each pause ended with a call that waited for a connection in vain."""
    refused = TransportError("connect: TimeoutError", sent=False)
    calls = ScriptedTargets(refused, ScriptedExchange(), ScriptedExchange())
    made = gateway(calls, target("t1"), target("t2"))
    await made.async_handle(call(), RecordedReply())
    states = made.view.targets.states
    lost = next(state for state in states.values() if state.needs_check)
    later = lost.blocked_until + 0.01
    assert lost.is_unreachable(later)
    made.tick(later)
    await asyncio.sleep(0.01)
    assert calls.checked == [lost.entry.name]
    assert lost.is_unreachable(made.clock.monotonic())
    calls.is_connectable = True
    made.tick(lost.blocked_until + 0.01)
    await asyncio.sleep(0.01)
    assert not lost.is_unreachable(made.clock.monotonic())


async def test_the_word_of_one_vm_blocks_no_target() -> None:
    made = gateway(ScriptedTargets(), target("t1"))
    state = made.view.targets.states["t1"]
    state.progress_at = 900.0
    state.unreachable_reports["v2"] = 1_000.0
    assert not state.is_unreachable(1_000.1)
    state.unreachable_reports["v3"] = 1_000.0
    assert state.is_unreachable(1_000.1)
    state.progress_at = 1_000.05
    assert not state.is_unreachable(1_000.1)
    assert not state.is_unreachable(1_002.0)


async def test_a_call_waits_while_no_target_can_be_connected_for_a_moment() -> None:
    """With one target, a single lost connection made all calls be refused."""
    refused = TransportError("connect: TimeoutError", sent=False)
    calls = ScriptedTargets(refused, ScriptedExchange())
    calls.is_connectable = True
    found = document(route(kind=CallKind.ONCE))
    made = gateway(calls, target("t1"), routing=found)
    first, second = RecordedReply(), RecordedReply()
    await made.async_handle(call(), first)
    assert first.status == 503
    task = asyncio.create_task(made.async_handle(call(request_id="id-2"), second))
    for _ in range(16):
        await asyncio.sleep(0.05)
        made.tick(made.clock.monotonic())
    async with asyncio.timeout(1.0):
        await task
    assert second.status == 200
