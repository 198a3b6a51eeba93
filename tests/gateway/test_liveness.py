"""Tests of abandoning silent or unreachable targets and of using them again."""

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


async def test_target_that_accepts_connections_is_not_abandoned() -> None:
    """Guards against VMs abandoning a full engine that has no other call of theirs."""
    slow = ScriptedExchange()
    slow.delay = 1.3
    calls = ScriptedTargets(slow, ScriptedExchange())
    calls.is_connectable = True
    reply = RecordedReply()
    gw = gateway(calls, target("t1"), target("t2"))
    await gw.async_handle(call(), reply)
    assert reply.status == 200
    assert len(calls.sent) == 1
    assert calls.checked


async def test_silent_target_is_abandoned_before_the_deadline() -> None:
    """The target accepts connections but never answers; the caller allows 4 s."""
    silent = ScriptedExchange(hangs=True)
    calls = ScriptedTargets(silent, ScriptedExchange())
    calls.is_connectable = True
    reply = RecordedReply()
    async with asyncio.timeout(3.0):
        gw = gateway(calls, target("t1"), target("t2"))
        await gw.async_handle(call(), reply)
    assert reply.status == 200
    assert silent.is_aborted


async def test_call_abandons_target_that_peers_report_unreachable() -> None:
    silent = ScriptedExchange(hangs=True)
    calls = ScriptedTargets(silent, ScriptedExchange())
    reply = RecordedReply()
    gw = gateway(calls, target("t1"), target("t2"))
    task = asyncio.create_task(gw.async_handle(call(), reply))
    await asyncio.sleep(0.05)
    state = gw.view.targets.states[calls.sent[0].target.name]
    now = gw.clock.monotonic()
    for vm in ("v2", "v3"):
        state.record_unreachable_report(vm, now)
    async with asyncio.timeout(0.4):
        await task
    assert reply.status == 200


async def test_blocked_target_gets_calls_only_after_successful_check() -> None:
    """Guards against a call being used as the connection test after each block."""
    refused = TransportError("connect: TimeoutError", sent=False)
    calls = ScriptedTargets(refused, ScriptedExchange(), ScriptedExchange())
    gw = gateway(calls, target("t1"), target("t2"))
    await gw.async_handle(call(), RecordedReply())
    states = gw.view.targets.states
    lost = next(state for state in states.values() if state.needs_check)
    later = lost.blocked_until + 0.01
    assert lost.is_unreachable(later)
    gw.tick(later)
    await asyncio.sleep(0.01)
    assert calls.checked == [lost.entry.name]
    assert lost.is_unreachable(gw.clock.monotonic())
    calls.is_connectable = True
    gw.tick(lost.blocked_until + 0.01)
    await asyncio.sleep(0.01)
    assert not lost.is_unreachable(gw.clock.monotonic())


async def test_report_of_one_vm_does_not_block_target() -> None:
    gw = gateway(ScriptedTargets(), target("t1"))
    state = gw.view.targets.states["t1"]
    state.progress_at = 900.0
    state.record_unreachable_report("v2", 1_000.0)
    assert not state.is_unreachable(1_000.1)
    state.record_unreachable_report("v3", 1_000.0)
    assert state.is_unreachable(1_000.1)
    state.progress_at = 1_000.05
    assert not state.is_unreachable(1_000.1)
    assert not state.is_unreachable(1_002.0)


async def test_call_is_queued_while_only_target_is_blocked() -> None:
    """Guards against refusing all calls when the only target fails to connect once."""
    refused = TransportError("connect: TimeoutError", sent=False)
    calls = ScriptedTargets(refused, ScriptedExchange())
    calls.is_connectable = True
    routing = document(route(kind=CallKind.ONCE))
    gw = gateway(calls, target("t1"), routing=routing)
    first, second = RecordedReply(), RecordedReply()
    await gw.async_handle(call(), first)
    assert first.status == 503
    task = asyncio.create_task(gw.async_handle(call(request_id="id-2"), second))
    for _ in range(16):
        await asyncio.sleep(0.05)
        gw.tick(gw.clock.monotonic())
    async with asyncio.timeout(1.0):
        await task
    assert second.status == 200


async def test_reports_of_cut_vms_take_no_target_from_a_vm_that_reaches_it() -> None:
    """Two VMs that lost their own links report a target that is sound."""
    calls = ScriptedTargets(ScriptedExchange())
    calls.is_connectable = True
    gw = gateway(calls, target("t1"))
    state = gw.view.targets.states["t1"]
    now = gw.clock.monotonic()
    for vm in ("v2", "v3"):
        state.record_unreachable_report(vm, now)
    gw.tick(now)
    await asyncio.sleep(0.01)
    reply = RecordedReply()
    async with asyncio.timeout(0.5):
        await gw.async_handle(call(), reply)
    assert reply.status == 200
    assert calls.checked == ["t1"]


async def test_reports_of_cut_vms_end_no_call_at_a_sound_target() -> None:
    slow = ScriptedExchange()
    slow.delay = 0.5
    calls = ScriptedTargets(slow, ScriptedExchange())
    calls.is_connectable = True
    reply = RecordedReply()
    gw = gateway(calls, target("t1"), target("t2"))
    task = asyncio.create_task(gw.async_handle(call(), reply))
    await asyncio.sleep(0.05)
    state = gw.view.targets.states[calls.sent[0].target.name]
    now = gw.clock.monotonic()
    for vm in ("v2", "v3"):
        state.record_unreachable_report(vm, now)
    await task
    assert reply.status == 200
    assert len(calls.sent) == 1


async def test_cut_is_noticed_at_all_targets_after_the_first_failure() -> None:
    """Each target used to be found out by a call of its own, one after the other."""
    refused = TransportError("connect: TimeoutError", sent=False)
    names = [f"t{number}" for number in range(1, 9)]
    gw = gateway(ScriptedTargets(refused), *map(target, names))
    for state in gw.view.targets.states.values():
        state.progress_at = 0.0
    # The time that is left allows no send to a second target.
    await gw.async_handle(call(deadline=1_000.1), RecordedReply())
    await asyncio.sleep(0.01)
    assert gw.view.is_cut_off("portal", gw.clock.monotonic())


async def test_failed_target_alone_is_no_reason_to_check_the_others() -> None:
    """A stream or an answer from another target shows that the links are sound."""
    refused = TransportError("connect: TimeoutError", sent=False)
    calls = ScriptedTargets(refused, ScriptedExchange())
    gw = gateway(calls, *(target(f"t{number}") for number in range(1, 9)))
    for state in gw.view.targets.states.values():
        state.progress_at = 0.0
    gw.view.targets.states["t8"].progress_at = gw.clock.monotonic()
    await gw.async_handle(call(), RecordedReply())
    assert not calls.checked


async def test_request_that_was_answered_is_not_blocked_by_links_that_are_reset() -> (
    None
):
    """The same request at three targets used to be taken for the cause of crashes."""
    lost = TransportError("the connection was lost", sent=True)
    calls = ScriptedTargets(
        ScriptedExchange(),
        *(ScriptedExchange(head_error=lost) for _ in range(3)),
        ScriptedExchange(),
    )
    names = [f"t{number}" for number in range(1, 4)]
    routing = document(route(max_targets=3))
    gw = gateway(calls, *map(target, names), routing=routing)
    for status in (200, 502, 200):
        reply = RecordedReply()
        await gw.async_handle(call(), reply)
        assert reply.status == status


async def test_answered_request_that_later_crashes_targets_is_blocked() -> None:
    """Each target is listed with a new life after its failure, so it did crash."""
    lost = TransportError("the connection was lost", sent=True)
    failures = [ScriptedExchange(head_error=lost) for _ in range(12)]
    calls = ScriptedTargets(ScriptedExchange(), *failures)
    names = [f"t{number}" for number in range(1, 4)]
    routing = document(route(max_targets=1))
    gw = gateway(calls, *map(target, names), routing=routing)
    await gw.async_handle(call(), RecordedReply())
    reply = RecordedReply()
    for life in range(2, 10):
        reply = RecordedReply()
        await gw.async_handle(call(), reply)
        now = gw.clock.monotonic()
        for name in names:
            gw.view.targets.update(target(name, life=life), now)
    assert reply.status == 503


async def test_planned_ends_after_reset_links_do_not_block_an_answered_request() -> (
    None
):
    """Each target says that it leaves after its link was reset, and is then gone."""
    lost = TransportError("the connection was lost", sent=True)
    failures = [ScriptedExchange(head_error=lost) for _ in range(8)]
    calls = ScriptedTargets(ScriptedExchange(), *failures, ScriptedExchange())
    routing = document(route(max_targets=1))
    gw = gateway(calls, target("t1", life=1), routing=routing)
    await gw.async_handle(call(), RecordedReply())
    for life in range(2, 10):
        await gw.async_handle(call(), RecordedReply())
        gw.view.targets.record_leaving("t1", life - 1)
        gw.view.targets.remove("t1")
        gw.view.targets.update(target("t1", life=life), gw.clock.monotonic())
    reply = RecordedReply()
    await gw.async_handle(call(), reply)
    assert reply.status == 200


async def test_answered_request_is_blocked_when_the_crashed_targets_are_gone() -> None:
    lost = TransportError("the connection was lost", sent=True)
    failures = [ScriptedExchange(head_error=lost) for _ in range(8)]
    calls = ScriptedTargets(ScriptedExchange(), *failures)
    routing = document(route(max_targets=1))
    gw = gateway(calls, *(target(f"t{n}") for n in range(1, 9)), routing=routing)
    await gw.async_handle(call(), RecordedReply())
    for _ in range(3):
        reply = RecordedReply()
        await gw.async_handle(call(), reply)
        assert reply.status == 502
        gw.view.targets.remove(calls.sent[-1].target.name)
    reply = RecordedReply()
    await gw.async_handle(call(), reply)
    assert reply.status == 503
    assert len(calls.sent) == 4
