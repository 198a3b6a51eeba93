"""Tests of the order of waiting calls and of who is turned away."""

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

CAPACITY = Capacity(workers=2, backlog_seconds=0.1, remote_work_seconds=0.0)


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


def test_late_calls_go_last_and_urgent_ones_first() -> None:
    late = waiting(1, due_at=10.1, priority=0)
    usual, urgent = waiting(2), waiting(3, priority=0)
    assert sort_by_priority([late, usual, urgent], 10.0) == [urgent, usual, late]


def test_a_call_that_a_target_lost_does_not_go_last() -> None:
    """Such calls were turned away with an error as late, though time was left."""
    lost = waiting(1, due_at=10.1, was_sent=True)
    usual = waiting(2)
    assert sort_by_priority([usual, lost], 11.0) == [lost, usual]
    assert calls_to_shed([replace(lost, due_at=9.0)], CAPACITY, 14.0) == []
    assert len(calls_to_shed([replace(usual, due_at=9.0)], CAPACITY, 14.0)) == 1


def test_what_arrives_makes_late_calls_wait() -> None:
    late = waiting(due_at=10.1)
    busy = replace(CAPACITY, backlog_seconds=1.5)
    assert calls_to_shed([late], busy, 10.0) == []
    shed = calls_to_shed([late], replace(busy, offered_load=2.0), 10.0)
    assert [found.call for found in shed] == [late]
    assert shed[0].expected_wait > busy.backlog_seconds


def test_without_a_target_all_are_told_when_one_may_be_there() -> None:
    none = replace(CAPACITY, workers=0)
    call = waiting()
    assert calls_to_shed([call], none, 10.0) == [
        ShedCall(call=call, expected_wait=NO_TARGET_RETRY_SECONDS)
    ]
    assert expected_wait([call], none) == NO_TARGET_RETRY_SECONDS


def test_all_that_waits_counts_for_who_comes_back() -> None:
    held = waiting(occupied_seconds=1.0)
    remote_load = replace(CAPACITY, remote_work_seconds=3.0)
    assert expected_wait([held, held], CAPACITY) == 0.1 + 2.0 / 2
    assert expected_wait([held, held], remote_load) == 0.1 + 5.0 / 2
