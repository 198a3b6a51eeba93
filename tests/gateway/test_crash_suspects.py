"""Tests of failures of requests that targets have answered before."""

from __future__ import annotations

import pytest

from gypsumsail.gateway.crash_suspects import (
    MAX_END_DELAY_SECONDS,
    MAX_ENDED_LIVES,
    MAX_FAILURE_DELAY_SECONDS,
    MAX_FAILURES_PER_REQUEST,
    MAX_FINGERPRINTS,
    CrashSuspectTracker,
)

RUN_SECONDS = 0.05


def answered_tracker(answers: int = 1) -> CrashSuspectTracker:
    """Return a tracker that has seen answers to the request ``f``."""
    tracker = CrashSuspectTracker()
    for _ in range(answers):
        tracker.record_answered("f")
    return tracker


def fail(tracker: CrashSuspectTracker, life: int, now: float) -> None:
    """Record that the request ``f`` failed at a life of a target."""
    tracker.record_local("f", "t", life, sent_at=now - RUN_SECONDS, now=now)


@pytest.mark.parametrize("answers", [1, 5])
@pytest.mark.parametrize("delay", [0.0, 8.0, MAX_END_DELAY_SECONDS])
def test_third_crash_of_an_answered_request_blocks_it(
    answers: int, delay: float
) -> None:
    """The rule allows three more retries after the third crash."""
    tracker = answered_tracker(answers)
    for life in range(1, 4):
        assert not tracker.is_blocked("f")
        fail(tracker, life, 10_000.0 + life)
    for life in range(1, 4):
        tracker.record_end("t", life, 10_000.0 + life + delay)
    assert tracker.is_blocked("f")


def test_links_that_are_reset_never_block_an_answered_request() -> None:
    tracker = answered_tracker()
    for life in range(1, 1_000):
        fail(tracker, life, 100.0 + life)
    assert tracker.crashes("f") == 0
    assert not tracker.take_unsent(10)


def test_life_that_ends_long_after_its_failure_has_not_crashed_of_it() -> None:
    tracker = answered_tracker()
    for life in range(1, 6):
        fail(tracker, life, 100.0 + life)
        tracker.record_end("t", life, 100.1 + life + MAX_END_DELAY_SECONDS)
    assert tracker.crashes("f") == 0
    assert not tracker.take_unsent(10)


@pytest.mark.parametrize(
    ("lead", "crashes"),
    [(0.1, 3), (MAX_FAILURE_DELAY_SECONDS, 3), (MAX_FAILURE_DELAY_SECONDS + 0.1, 0)],
)
def test_news_of_the_end_may_come_shortly_before_the_failure(
    lead: float, crashes: int
) -> None:
    """A removed target that was not announced to leave serves on, then resets."""
    tracker = answered_tracker()
    for life in range(1, 4):
        tracker.record_end("t", life, 100.0 * life - lead)
        fail(tracker, life, 100.0 * life)
    assert tracker.crashes("f") == crashes
    assert len(tracker.take_unsent(10)) == crashes


def test_targets_that_are_ended_together_count_once_for_an_answered_request() -> None:
    """Guards against blocking a popular request when a zone loses its power."""
    tracker = answered_tracker()
    for life in range(1, 9):
        fail(tracker, life, 100.0 + life * 0.001)
        tracker.record_end("t", life, 104.0)
    assert tracker.crashes("f") == 1
    fail(tracker, 10, 101.0)
    tracker.record_end("t", 10, 104.0)
    assert tracker.crashes("f") == 2


def test_reports_of_targets_that_were_ended_together_count_once() -> None:
    tracker = answered_tracker()
    for life in range(1, 9):
        tracker.record_reported("f", "t", life, 100.0 + life * 0.1)
        tracker.record_end("t", life, 104.0)
    assert tracker.crashes("f") == 1
    for life in range(20, 22):
        tracker.record_reported("f", "t", life, 90.0 + life)
        tracker.record_end("t", life, 114.0)
    assert tracker.is_blocked("f")
    assert not tracker.take_unsent(10)


def test_answer_between_crashes_refutes_the_earlier_ones() -> None:
    tracker = answered_tracker()
    for life in range(1, 6):
        if life == 3:
            tracker.record_answered("f")
        fail(tracker, life, 100.0 + life)
        tracker.record_end("t", life, 100.5 + life)
    assert tracker.crashes("f") == 3


def test_life_that_is_listed_again_has_not_crashed() -> None:
    """Entries of live targets may expire while the platform's store is away."""
    tracker = answered_tracker()
    for life in range(1, 4):
        fail(tracker, life, 100.0 + life)
        tracker.record_end("t", life, 105.0)
    assert tracker.is_blocked("f")
    tracker.record_listed("t", 2)
    assert tracker.crashes("f") == 2


def test_crash_of_an_answered_request_is_told_once() -> None:
    tracker = answered_tracker()
    fail(tracker, 1, 100.0)
    assert not tracker.take_unsent(10)
    tracker.record_end("t", 1, 103.0)
    fail(tracker, 1, 104.0)
    assert tracker.take_unsent(10) == [("f", "t", 1)]
    assert not tracker.take_unsent(10)


def test_memory_is_bounded() -> None:
    tracker = CrashSuspectTracker()
    for number in range(MAX_FINGERPRINTS + 10):
        tracker.record_answered(f"{number}")
        tracker.record_local(f"{number}", "t", 1, sent_at=1.0, now=1.0)
    for life in range(MAX_ENDED_LIVES + 10):
        tracker.record_local("5000", "t", life, sent_at=1.0, now=1.0)
        tracker.record_end("e", life, 100.0)
    assert len(tracker.answered) == len(tracker.failures) == MAX_FINGERPRINTS
    assert len(tracker.failures["5000"]) == MAX_FAILURES_PER_REQUEST
    assert len(tracker.ended) == MAX_ENDED_LIVES
