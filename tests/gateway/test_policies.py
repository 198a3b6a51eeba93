"""Unit tests of the gateway's policies and helper classes."""

from __future__ import annotations

import pytest

from gypsumsail.core.errors import RunState, TransportError
from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    InvalidEventError,
)
from gypsumsail.gateway.models import PromptPart
from gypsumsail.gateway.outcomes import (
    BreakOff,
    Broken,
    CallFacts,
    Delivered,
    Fail,
    Finished,
    NotSent,
    NotTaken,
    PassOn,
    Refuse,
    TargetError,
    TimedOut,
    final_answer,
    should_try_another_target,
)
from gypsumsail.gateway.part_cache import PartCache
from gypsumsail.gateway.retry_after import retry_after
from gypsumsail.gateway.retry_budget import RetryBudget, RetryLimit
from gypsumsail.gateway.weights import WantedWeights, WeightFit, weight_fit

ERROR = TargetError(status=500, headers=(), body=b"")


def facts(**changes: object) -> CallFacts:
    values: dict[str, object] = {
        "may_repeat": True,
        "targets_used": 1,
        "max_targets": 2,
        "has_reply_begun": False,
        "time_left": 3.0,
        "usual_seconds": 0.1,
    }
    return CallFacts(**(values | changes))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("outcome", "changes", "expected"),
    [
        (NotSent(reason=""), {"may_repeat": False, "targets_used": 1}, True),
        (NotTaken(status=421, is_wrong_target=True), {"max_targets": 1}, True),
        (NotTaken(status=503, is_wrong_target=False), {"max_targets": 1}, False),
        (NotTaken(status=503, is_wrong_target=False), {"may_repeat": False}, True),
        (Broken(reason=""), {}, True),
        (Broken(reason=""), {"may_repeat": False}, False),
        (Broken(reason=""), {"targets_used": 2}, False),
        (Broken(reason=""), {"time_left": 0.2}, False),
        (ERROR, {}, True),
        (ERROR, {"may_repeat": False}, False),
        (TimedOut(), {}, False),
        (Delivered(status=200), {}, False),
    ],
)
def test_should_try_another_target(
    outcome: object, changes: dict[str, object], expected: bool
) -> None:
    assert should_try_another_target(outcome, facts(**changes)) is expected  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("outcome", "may_have_run", "expected"),
    [
        (Delivered(status=200), True, Finished()),
        (NotSent(reason=""), False, Refuse()),
        (NotSent(reason=""), True, Fail(status=502, run_state=RunState.MAY_HAVE_RUN)),
        (NotTaken(status=503, is_wrong_target=False), False, Refuse()),
        (ERROR, True, PassOn(error=ERROR)),
        (Broken(reason=""), True, Fail(status=502, run_state=RunState.MAY_HAVE_RUN)),
        (TimedOut(), True, Fail(status=504, run_state=RunState.MAY_HAVE_RUN)),
    ],
)
def test_final_answer_claims_not_run_only_if_certain(
    outcome: object, may_have_run: bool, expected: object
) -> None:
    answer = final_answer(outcome, may_have_run=may_have_run, has_reply_begun=False)  # type: ignore[arg-type]
    assert answer == expected


def test_started_reply_is_broken_off() -> None:
    answer = final_answer(ERROR, may_have_run=True, has_reply_begun=True)
    assert answer == BreakOff()


def test_retry_delays_are_spread_and_leave_time_to_serve() -> None:
    times = [retry_after(0.8, 4.0, draw / 10) for draw in range(11)]
    assert max(times) <= 4.0 / 3
    assert max(times) - min(times) > 0.3
    assert retry_after(0.0, None, 0.0) > 0
    assert retry_after(100.0, None, 1.0) <= 3.0


def test_retry_budgets_of_all_vms_stay_within_limit() -> None:
    limit = RetryLimit(ratio=0.2, window=10.0, slack=54.0)
    vms = 7
    sent = 0
    for _ in range(vms):
        budget = RetryBudget()
        for _ in range(20):
            budget.count_call(limit, 5.0)
        while budget.take(limit, vms, 5.0):
            sent += 1
    assert 0 < sent <= 0.2 * 20 * vms + 54


def test_retry_budget_recovers_with_time() -> None:
    limit = RetryLimit(ratio=0.2, window=10.0, slack=5.0)
    budget = RetryBudget()
    while budget.take(limit, 1, 0.0):
        pass
    assert not budget.take(limit, 1, 9.0)
    assert budget.take(limit, 1, 10.5)


def test_stream_is_split_at_event_boundaries() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") == b""
    assert splitter.last_id == ""
    assert splitter.feed(b"ta: x\n\nid: 2\n") == b"id: 1\ndata: x\n\n"
    assert splitter.last_id == "1"
    assert splitter.has_partial
    assert splitter.feed(b"\n") == b"id: 2\n\n"
    assert not splitter.has_partial


@pytest.mark.parametrize(
    "bad",
    [
        b"error\n\n",
        b"error: no memory\n\n",
        b'{"error": "no memory"}\n\n',
        b"HTTP/1.1 500 S\r\nContent-Length: 5\r\n\r\nerror\n\n",
        b"id: 2\ndaHTTP/1.1 500 S\n\n",
        b"id: 2\ndata: xHTTP/1.1 500 S\r\nA: b\r\n\r\nid: 3\n\n",
        b"id: 2\nerror\n\n",
        b"id: 1\n\n",
        b"id: 0\n\n",
    ],
)
def test_events_before_an_invalid_one_are_returned_first(bad: bytes) -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n\n" + bad) == b"id: 1\n\n"
    assert splitter.last_id == "1"
    assert splitter.has_partial
    with pytest.raises(InvalidEventError):
        splitter.feed(b"id: 3\n\n")


def test_events_of_all_valid_forms_are_returned() -> None:
    valid = (
        b"id: 1\ndata: x\ndata\n\n: comment\n\n\ndata: [DONE]\n\nevent: end\n\n"
        b"x-version: 2\nid:4\ndata: {\n\nid: a\n\nid: 1" + b"0" * 5_000 + b"\n\n"
    )
    assert EventSplitter().feed(valid) == valid
    assert EventSplitter().feed(b"id: 1\n\n\n") == b"id: 1\n\n\n"


def test_first_event_of_a_stream_that_goes_on_is_compared_with_the_last() -> None:
    with pytest.raises(InvalidEventError):
        EventSplitter(last_id="9").feed(b"id: 1\n\n")
    assert EventSplitter(last_id="9").feed(b"id: 10\n\n")


def test_event_above_size_limit_is_rejected() -> None:
    splitter = EventSplitter()
    splitter.feed(b"x" * MAX_EVENT_BYTES)
    with pytest.raises(TransportError):
        splitter.feed(b"x")


def test_least_recently_used_parts_are_evicted() -> None:
    cache = PartCache(100)
    parts = [PromptPart(name=name, tokens=40) for name in "abc"]
    cache.add("1", parts[:2], in_use=0)
    cache.add("1", parts[2:], in_use=0)
    assert cache.leading_parts("1", parts) == 0
    assert cache.has("1", parts[1])
    assert not cache.has("2", parts[1])
    cache.add("1", (), in_use=100)
    assert not cache.has("1", parts[1])


def test_version_named_in_a_rollout_does_not_extend_the_time_of_older_weights() -> None:
    """Guards against calls on weights that an earlier version had replaced long ago."""
    wanted = WantedWeights(
        model="m", version=3, first_seen_at=109.0, earlier={1: 0.0, 2: 100.0}
    )
    assert weight_fit(wanted, 1, 6.0, 109.2) is WeightFit.REFUSED
    assert weight_fit(wanted, 2, 6.0, 109.2) is WeightFit.PREFERRED
    assert weight_fit(wanted, 2, 6.0, 110.5) is WeightFit.AVOIDED


def test_old_weights_are_avoided_and_then_refused() -> None:
    wanted = WantedWeights(model="m", version=2, first_seen_at=100.0)
    assert weight_fit(wanted, 2, 12.0, 200.0) is WeightFit.PREFERRED
    assert weight_fit(wanted, 1, 12.0, 100.5) is WeightFit.PREFERRED
    assert weight_fit(wanted, 1, 12.0, 103.0) is WeightFit.AVOIDED
    assert weight_fit(wanted, 1, 12.0, 111.5) is WeightFit.REFUSED
    assert weight_fit(None, 1, 12.0, 111.5) is WeightFit.PREFERRED


def test_only_request_that_crashes_several_lives_is_blocked() -> None:
    tracker = CrashSuspectTracker()
    for _ in range(3):
        tracker.record_local("f", "t1", 1, sent_at=9.0, now=10.0)
    assert not tracker.is_blocked("f")
    tracker.record_reported("f", "t1", 2, 10.0)
    tracker.record_reported("f", "t2", 1, 10.0)
    assert tracker.is_blocked("f")
    assert tracker.take_unsent(8) == [("f", "t1", 1)]
