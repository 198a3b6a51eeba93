"""Tests of the attempts of a job on engines that fail."""

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
    AttemptHarness,
    BlockedSink,
    ScriptedEngine,
    make_job,
    make_reservation,
)


async def async_run(harness: AttemptHarness, *, repeatable: bool = True) -> None:
    job = make_job(repeatable=repeatable)
    reservation = None if repeatable else make_reservation(harness.clock)
    await AttemptLoop(harness.deps(), harness.work(job), reservation).async_run()


@pytest.mark.parametrize("lost_after", range(1, len(ANSWER)))
async def test_interrupted_stream_resumes_without_missing_or_duplicate_tokens(
    lost_after: int,
) -> None:
    engines = {
        "first": ScriptedEngine(fail_after=lost_after, crashes=True),
        "second": ScriptedEngine(),
    }
    harness = AttemptHarness(engines)
    await async_run(harness)
    assert harness.sink.parts == list(ANSWER)
    assert engines["second"].requests[0].first_token == lost_after
    assert harness.selector.seen_constraints[-1].weight_version == "w1"


async def test_resuming_at_the_wrong_token_fails_the_request() -> None:
    engines = {
        "first": ScriptedEngine(fail_after=2, crashes=True),
        "second": ScriptedEngine(skipped_tokens=1),
    }
    harness = AttemptHarness(engines)
    with pytest.raises(TargetLostError):
        await async_run(harness)
    assert harness.sink.parts == list(ANSWER[:2])
    assert harness.sink.end is None


async def test_non_repeatable_request_is_sent_once_and_its_outcome_recorded() -> None:
    engines = {"first": ScriptedEngine(fail_after=2), "second": ScriptedEngine()}
    harness = AttemptHarness(engines)
    with pytest.raises(TargetLostError) as caught:
        await async_run(harness, repeatable=False)
    assert caught.value.run_state is RunState.MAY_HAVE_RUN
    assert engines["second"].requests == []
    assert harness.once.calls == ["sent", "ended: may have run"]


async def test_unsent_request_is_retried_on_another_engine() -> None:
    engines = {
        "first": ScriptedEngine(fail_after=0, sent=False),
        "second": ScriptedEngine(),
    }
    harness = AttemptHarness(engines)
    await async_run(harness, repeatable=False)
    assert harness.sink.parts == list(ANSWER)
    assert harness.once.calls == ["sent", "ended: ran"]
    assert harness.selector.unreachable_targets == ["first"]


async def test_request_is_not_sent_after_its_reservation_expired() -> None:
    """Guards against a late send by an entry process that was paused and resumes."""
    harness = AttemptHarness({"first": ScriptedEngine()})
    job = make_job(repeatable=False)
    reservation = make_reservation(harness.clock)
    harness.clock.now += 600.0
    loop = AttemptLoop(harness.deps(), harness.work(job), reservation)
    with pytest.raises(ReservationUnavailableError) as caught:
        await loop.async_run()
    assert caught.value.run_state is RunState.NOT_RUN
    assert harness.engines["first"].requests == []
    assert harness.once.calls == ["abandoned"]


async def test_request_that_crashed_two_targets_is_not_retried() -> None:
    engines = {
        name: ScriptedEngine(fail_after=1, crashes=True)
        for name in ("first", "second", "third")
    }
    harness = AttemptHarness(engines)
    with pytest.raises(CrashSuspectError) as caught:
        await async_run(harness)
    assert [len(engine.requests) for engine in engines.values()] == [1, 1, 0]
    assert caught.value.run_state is RunState.MAY_HAVE_RUN
    with pytest.raises(CrashSuspectError) as again:
        await async_run(harness)
    assert again.value.run_state is RunState.NOT_RUN
    assert again.value.retry_after is not None


async def test_target_that_lost_two_attempts_is_avoided() -> None:
    engines = {"first": ScriptedEngine(fail_after=1), "second": ScriptedEngine()}
    harness = AttemptHarness(engines)
    await async_run(harness)
    assert harness.sink.parts == list(ANSWER)
    assert [len(engine.requests) for engine in engines.values()] == [2, 1]


async def test_retry_waits_for_the_other_attempt_on_the_failed_target() -> None:
    """Guards against a retry on another target before a crash is confirmed.

    The target fails for this attempt while another attempt of the same request is
    placed on it. That attempt reports the crash, and this one then runs isolated.
    """
    engines = {
        "first": ScriptedEngine(fail_after=0, sent=False),
        "second": ScriptedEngine(),
    }
    harness = AttemptHarness(engines)
    table, fingerprint = harness.suspects.table, make_job().fingerprint
    instance = TargetInstance(target="first", incarnation="1")
    table.begin(fingerprint, "other", "entry/2", harness.clock.now)
    table.place(fingerprint, "other", instance)
    run = asyncio.create_task(async_run(harness))
    await harness.selector.unreachable_reported.wait()
    assert engines["second"].requests == []
    table.record_crash(
        fingerprint, "other", instance, isolated=False, now=harness.clock.now
    )
    await run
    assert [found.isolated for found in harness.selector.seen_constraints] == [
        False,
        True,
    ]


async def test_suspect_waits_for_a_free_slot() -> None:
    harness = AttemptHarness({"first": ScriptedEngine()})
    table, fingerprint = harness.suspects.table, make_job().fingerprint
    instance = TargetInstance(target="lost", incarnation="1")
    table.record_crash(
        fingerprint, "before", instance, isolated=False, now=harness.clock.now
    )
    harness.suspects.slots.take("first", "other", harness.clock.now)
    run = asyncio.create_task(async_run(harness))
    await harness.selector.selection_refused.wait()
    harness.suspects.slots.free("first", "other")
    await run
    assert harness.sink.parts == list(ANSWER)


async def test_work_is_cancelled_when_the_caller_disconnects() -> None:
    sink = BlockedSink()
    harness = AttemptHarness({"first": ScriptedEngine()}, sink=sink)
    run = asyncio.create_task(async_run(harness))
    await sink.blocked.wait()
    run.cancel()
    with pytest.raises(asyncio.CancelledError):
        await run
    assert harness.cancelled == ["first"]
