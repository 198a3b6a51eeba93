"""Tests of attempts of a job, with engines that fail."""

from __future__ import annotations

import asyncio

import pytest

from gypsumsail.core.errors import (
    CrashSuspectError,
    ReservationUnavailableError,
    RunState,
    TargetLostError,
)
from gypsumsail.relay.attempts import AttemptLoop
from gypsumsail.suspects.models import TargetInstance
from tests.relay.common import (
    ANSWER,
    Bench,
    BlockedSink,
    ScriptedEngine,
    make_job,
    make_reservation,
)


async def async_run(bench: Bench, *, repeatable: bool = True) -> None:
    job = make_job(repeatable=repeatable)
    reservation = None if repeatable else make_reservation(bench.clock)
    await AttemptLoop(bench.ports(), bench.work(job), reservation).async_run()


@pytest.mark.parametrize("lost_after", range(1, len(ANSWER)))
async def test_a_lost_stream_goes_on_without_a_missing_or_doubled_token(
    lost_after: int,
) -> None:
    engines = {
        "first": ScriptedEngine(fail_after=lost_after, crashes=True),
        "second": ScriptedEngine(),
    }
    bench = Bench(engines)
    await async_run(bench)
    assert bench.sink.parts == list(ANSWER)
    assert engines["second"].requests[0].first_token == lost_after
    assert bench.selector.asked[-1].weight_version == "w1"


async def test_an_engine_that_resumes_at_the_wrong_token_is_not_believed() -> None:
    engines = {
        "first": ScriptedEngine(fail_after=2, crashes=True),
        "second": ScriptedEngine(skip=1),
    }
    bench = Bench(engines)
    with pytest.raises(TargetLostError):
        await async_run(bench)
    assert bench.sink.parts == list(ANSWER[:2])
    assert bench.sink.end is None


async def test_what_may_not_be_repeated_is_sent_once_and_the_end_is_recorded() -> None:
    engines = {"first": ScriptedEngine(fail_after=2), "second": ScriptedEngine()}
    bench = Bench(engines)
    with pytest.raises(TargetLostError) as caught:
        await async_run(bench, repeatable=False)
    assert caught.value.run_state is RunState.MAY_HAVE_RUN
    assert engines["second"].requests == []
    assert bench.once.calls == ["sent", "ended: may have run"]


async def test_what_certainly_was_not_sent_may_go_elsewhere() -> None:
    engines = {
        "first": ScriptedEngine(fail_after=0, sent=False),
        "second": ScriptedEngine(),
    }
    bench = Bench(engines)
    await async_run(bench, repeatable=False)
    assert bench.sink.parts == list(ANSWER)
    assert bench.once.calls == ["sent", "ended: ran"]
    assert bench.selector.not_reached == ["first"]


async def test_a_frozen_entry_that_thaws_does_not_send() -> None:
    bench = Bench({"first": ScriptedEngine()})
    job = make_job(repeatable=False)
    reservation = make_reservation(bench.clock)
    bench.clock.now += 600.0
    loop = AttemptLoop(bench.ports(), bench.work(job), reservation)
    with pytest.raises(ReservationUnavailableError) as caught:
        await loop.async_run()
    assert caught.value.run_state is RunState.NOT_RUN
    assert bench.engines["first"].requests == []
    assert bench.once.calls == ["abandoned"]


async def test_a_request_that_crashes_targets_takes_two_and_is_given_up_at_once() -> (
    None
):
    engines = {
        name: ScriptedEngine(fail_after=1, crashes=True)
        for name in ("first", "second", "third")
    }
    bench = Bench(engines)
    with pytest.raises(CrashSuspectError) as caught:
        await async_run(bench)
    assert [len(engine.requests) for engine in engines.values()] == [1, 1, 0]
    assert caught.value.run_state is RunState.MAY_HAVE_RUN
    with pytest.raises(CrashSuspectError) as again:
        await async_run(bench)
    assert again.value.run_state is RunState.NOT_RUN
    assert again.value.retry_after is not None


async def test_a_target_that_loses_each_attempt_gives_way_to_another() -> None:
    engines = {"first": ScriptedEngine(fail_after=1), "second": ScriptedEngine()}
    bench = Bench(engines)
    await async_run(bench)
    assert bench.sink.parts == list(ANSWER)
    assert [len(engine.requests) for engine in engines.values()] == [2, 1]


async def test_a_copy_waits_for_the_verdict_on_the_target_that_both_lost() -> None:
    engines = {
        "first": ScriptedEngine(fail_after=0, sent=False),
        "second": ScriptedEngine(),
    }
    bench = Bench(engines)
    table, fingerprint = bench.suspects.table, make_job().fingerprint
    instance = TargetInstance(target="first", incarnation="1")
    table.begin(fingerprint, "other", "entry/2", bench.clock.now)
    table.place(fingerprint, "other", instance)
    run = asyncio.create_task(async_run(bench))
    await bench.selector.reached.wait()
    assert engines["second"].requests == []
    table.crash(fingerprint, "other", instance, isolated=False, now=bench.clock.now)
    await run
    assert [found.isolated for found in bench.selector.asked] == [False, True]


async def test_a_suspect_waits_for_a_place() -> None:
    bench = Bench({"first": ScriptedEngine()})
    table, fingerprint = bench.suspects.table, make_job().fingerprint
    instance = TargetInstance(target="lost", incarnation="1")
    table.crash(fingerprint, "before", instance, isolated=False, now=bench.clock.now)
    bench.suspects.slots.take("first", "other", bench.clock.now)
    run = asyncio.create_task(async_run(bench))
    await bench.selector.refused.wait()
    bench.suspects.slots.free("first", "other")
    await run
    assert bench.sink.parts == list(ANSWER)


async def test_the_engine_is_told_when_the_caller_goes_away() -> None:
    sink = BlockedSink()
    bench = Bench({"first": ScriptedEngine()}, sink=sink)
    run = asyncio.create_task(async_run(bench))
    await sink.reached.wait()
    run.cancel()
    with pytest.raises(asyncio.CancelledError):
        await run
    assert bench.cancelled == ["first"]
