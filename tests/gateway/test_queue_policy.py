"""Tests of the queue order and of load shedding."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from gypsumsail.gateway.const import NO_TARGET_RETRY_SECONDS
from gypsumsail.gateway.queue_policy import (
    Capacity,
    QueuedCall,
    ShedCall,
    calls_to_shed,
    expected_wait,
    sort_by_priority,
)

CAPACITY = Capacity(workers=2, backlog_seconds=0.1, peer_queued_work_seconds=0.0)


def waiting(number: int = 1, **changes: Any) -> QueuedCall:
    plain = QueuedCall(
        number=number,
        priority=1,
        arrived_at=10.0,
        due_at=10.8,
        deadline=15.0,
        work_seconds=0.2,
    )
    return replace(plain, **changes)


def test_late_calls_are_last_and_high_priority_calls_first() -> None:
    late = waiting(1, due_at=10.1, priority=0)
    usual, urgent = waiting(2), waiting(3, priority=0)
    assert sort_by_priority([late, usual, urgent], 10.0) == [urgent, usual, late]


def test_call_lost_by_target_is_not_deferred_or_shed() -> None:
    """Guards against failing such calls as late although time was left."""
    lost = waiting(1, due_at=10.1, may_have_run=True)
    usual = waiting(2)
    assert sort_by_priority([usual, lost], 11.0) == [lost, usual]
    assert calls_to_shed([replace(lost, due_at=9.0)], CAPACITY, 14.0) == []
    assert len(calls_to_shed([replace(usual, due_at=9.0)], CAPACITY, 14.0)) == 1


def test_offered_load_delays_late_calls() -> None:
    late = waiting(due_at=10.1)
    busy = replace(CAPACITY, backlog_seconds=1.5)
    assert calls_to_shed([late], busy, 10.0) == []
    shed = calls_to_shed([late], replace(busy, offered_load=2.0), 10.0)
    assert [item.call for item in shed] == [late]
    assert shed[0].expected_start_delay > busy.backlog_seconds


def test_without_targets_all_calls_get_default_retry_delay() -> None:
    no_targets = replace(CAPACITY, workers=0)
    call = waiting()
    assert calls_to_shed([call], no_targets, 10.0) == [
        ShedCall(call=call, expected_start_delay=NO_TARGET_RETRY_SECONDS)
    ]
    assert expected_wait([call], no_targets) == NO_TARGET_RETRY_SECONDS


def test_expected_wait_counts_local_and_remote_work() -> None:
    queued = waiting(memory_seconds=1.0)
    with_peer_work = replace(CAPACITY, peer_queued_work_seconds=3.0)
    assert expected_wait([queued, queued], CAPACITY) == 0.1 + 2.0 / 2
    assert expected_wait([queued, queued], with_peer_work) == 0.1 + 5.0 / 2
