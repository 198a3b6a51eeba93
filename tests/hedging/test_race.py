"""Tests of calls with two sends, through the gateway."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from typing import Any

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.forwarding import ForwardTerms
from gypsumsail.gateway.models import CallKind
from gypsumsail.hedging import decisions
from gypsumsail.hedging.models import Withheld
from tests.gateway.common import (
    PORTAL,
    ScriptedExchange,
    call,
    document,
    engine,
    prompt,
    route,
    stream_route,
    target,
)
from tests.hedging.common import GatedExchange, Play

BROKEN = TransportError("reset", sent=True)
NOT_RUN: dict[str, Any] = {"status": 503, "says_not_run": True}
EVENTS: list[bytes | Exception] = [b"id: 1\n\n", b"id: 2\n\n"]


@pytest.fixture(autouse=True)
def busy_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let timers be late; ``test_decisions.py`` tests what a late one means."""
    monkeypatch.setattr(decisions, "MAX_TIMER_DELAY_SECONDS", 10.0)


async def test_slow_call_is_answered_by_second_target() -> None:
    """A call that waits for the slow target, or blames it, is the failure."""
    slow, fast = ScriptedExchange(hangs=True), ScriptedExchange(body=[b"fast"])
    play = Play(slow, fast)
    reply = await play.async_call()
    assert (reply.status, reply.body, reply.is_complete) == (200, b"fast", True)
    assert (slow.is_aborted, fast.is_aborted, play.failures) == (True, False, 0)
    assert sorted(play.sent) == ["t1", "t2"]
    first, second = (sent.terms.time_left for sent in play.calls.sent)
    assert first - 0.5 < second < first - 0.02
    assert len(play.gw.budgets[PORTAL].hedges) == 1
    [line] = play.lines.of("hedge sent")
    assert line["target"] == play.sent[1]
    assert line["after_ms"] >= line["threshold_ms"] >= 50
    assert play.end == "won"
    assert play.lines.of("answered")[0]["targets_used"] == 2


async def test_first_target_may_still_win() -> None:
    """The caller must get the earlier answer, and the later send must end."""
    other = ScriptedExchange(hangs=True)
    play = Play(ScriptedExchange(delay=0.4, body=[b"first"]), other)
    reply = await play.async_call()
    assert (reply.body, other.is_aborted) == (b"first", True)
    assert (play.end, play.failures) == ("lost", 0)


async def test_head_of_plain_answer_decides() -> None:
    """A long body must not let the other target work on, nor mix two answers."""
    late = ScriptedExchange(delay=0.4, body=[b"late"])
    long_answer = GatedExchange(body=[b"long ", b"answer"])
    play = Play(late, long_answer)
    task = asyncio.create_task(play.async_call())
    await asyncio.sleep(0.6)
    assert (late.is_aborted, task.done(), play.in_flight) == (True, False, 1)
    long_answer.gate.set()
    assert (await task).body == b"long answer"


async def test_first_event_of_stream_decides_and_later_ones_follow_it() -> None:
    """Events of the lost send must not reach the caller or the resumption."""
    silent = GatedExchange(body=list(EVENTS), weight_version=1)
    broken = ScriptedExchange(body=[b"id: 7\n\nid", BROKEN], weight_version=1)
    rest = ScriptedExchange(body=[b"id: 8\n\n"], weight_version=1)
    routing = document(stream_route(is_resumable=True, max_targets=3))
    engines = [engine("e1"), engine("e2"), engine("e3")]
    play = Play(silent, broken, rest, entries=engines, routing=routing)
    reply = await play.async_call(call("/s/x", prompt=prompt()))
    silent.gate.set()
    await asyncio.sleep(0.01)
    assert silent.is_aborted
    assert (reply.body, reply.is_complete) == (b"id: 7\n\nid: 8\n\n", True)
    assert play.calls.sent[2].terms.resume_after == "7"
    assert sorted(play.sent) == ["e1", "e2", "e3"]


@pytest.mark.parametrize("failing", [0, 1])
@pytest.mark.parametrize(
    "failure",
    [
        NOT_RUN,
        {"status": 500},
        {"head_error": BROKEN},
        {"status": 421, "is_wrong_target": True, "target_name": "other"},
    ],
)
async def test_failure_of_one_send_leaves_the_other(
    failure: dict[str, Any], failing: int
) -> None:
    """Ending the call with the failure of one send is the failure."""
    answers = [ScriptedExchange(delay=0.6), ScriptedExchange(delay=0.5)]
    answers[failing] = ScriptedExchange(delay=0.2, **failure)
    play = Play(*answers)
    reply = await play.async_call()
    assert (reply.status, reply.body, len(play.sent)) == (200, b"whole", 2)
    assert play.end == ("failed" if failing else "won")
    is_wrong = answers[failing].is_wrong_target
    assert play.lines.of("answered")[0]["targets_used"] == 2 - is_wrong
    assert not answers[1 - failing].is_aborted


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        (NOT_RUN, NOT_RUN, 503),
        (NOT_RUN, {"head_error": BROKEN}, 502),
        ({"head_error": BROKEN}, NOT_RUN, 502),
        ({"status": 500}, {"head_error": BROKEN}, 500),
        (NOT_RUN, {"status": 500}, 500),
    ],
)
async def test_outcome_of_two_failures_is_the_better_founded(
    first: dict[str, Any], second: dict[str, Any], status: int
) -> None:
    """Telling the caller "not run" although one target may have run is the failure."""
    late = ScriptedExchange(delay=0.3, **first)
    play = Play(late, ScriptedExchange(delay=0.1, **second))
    reply = await play.async_call()
    assert (reply.status, len(play.sent)) == (status, 2)
    assert (b"retry-after" in dict(reply.headers)) == (status == 503)


async def test_run_at_one_of_two_targets_is_remembered() -> None:
    """A later target's "not run" must not hide that the second one may have run."""
    answers = [{"delay": 0.3, **NOT_RUN}, {"head_error": BROKEN}, NOT_RUN]
    entries = [target("t1"), target("t2"), target("t3")]
    routing = document(route(max_targets=3))
    scripted = [ScriptedExchange(**item) for item in answers]
    play = Play(*scripted, entries=entries, routing=routing)
    reply = await play.async_call()
    assert (reply.status, len(play.sent)) == (502, 3)
    assert sum(map(len, play.gw.crash_suspects.crashed_lives.values())) == 1


async def test_caller_that_leaves_ends_both_sends() -> None:
    """A send that goes on without its caller is the failure."""
    answers = [ScriptedExchange(hangs=True), ScriptedExchange(hangs=True)]
    play = Play(*answers)
    task = asyncio.create_task(play.async_call())
    await asyncio.sleep(0.3)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
    assert all(item.is_finished for item in answers)
    assert (play.end, play.failures) == ("cancelled", 0)
    assert not play.hedging.routes["r"].results


async def test_second_send_goes_only_where_the_placer_allows() -> None:
    """A target that takes no calls, as a cold one, must get no second send either."""
    play = Play(ScriptedExchange(delay=0.4))
    play.states["t2"].paused_until = play.gw.clock.monotonic() + 10.0
    assert (await play.async_call()).status == 200
    assert (play.sent, play.withheld) == (["t1"], {Withheld.NO_ROOM.value: 1})
    assert not play.gw.budgets[PORTAL].hedges


async def test_forwarded_call_with_one_target_left_has_one_send() -> None:
    """More targets than the VM that received the call allows are the failure."""
    play = Play(ScriptedExchange(delay=0.4))
    terms = ForwardTerms(
        service=PORTAL, document_revision=1, max_targets=1, time_left=4.0
    )
    assert (await play.async_call(terms=terms)).status == 200
    assert (len(play.sent), play.withheld) == (1, {Withheld.MAX_TARGETS.value: 1})


@pytest.mark.parametrize(
    "its_route",
    [
        route(kind=CallKind.ONCE),
        route(max_targets=1),
        replace(stream_route(prefix="/a/"), is_resumable=False),
    ],
)
async def test_call_that_may_not_run_twice_has_one_send(its_route: Any) -> None:
    """A second run of such a call is the failure."""
    exchange = ScriptedExchange(delay=0.4, body=list(EVENTS), weight_version=1)
    entries = [target("t1"), target("t2"), engine("e1"), engine("e2")]
    play = Play(exchange, entries=entries, routing=document(its_route))
    assert (await play.async_call()).status == 200
    assert len(play.sent) == 1


async def test_silent_target_is_found_although_others_answer_its_calls() -> None:
    """A target that stands still must not look idle because its calls are taken."""
    answers = [ScriptedExchange(hangs=True), ScriptedExchange()]
    play = Play(*answers, *answers, ScriptedExchange(delay=0.4))
    for _ in range(3):
        # The placer prefers the first target, which seems the faster one.
        play.states["t2"].record_success(play.gw.clock.monotonic(), 0.8)
        await play.async_call()
    assert play.sent == ["t1", "t2", "t1", "t2", "t1"]
    assert play.withheld == {Withheld.SILENT_TARGET.value: 1}
