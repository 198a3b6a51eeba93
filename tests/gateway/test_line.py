"""Tests of the order of waiting calls and of who is turned away."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from gypsumsail.gateway.const import NO_TARGET_SECONDS
from gypsumsail.gateway.line import (
    Capacity,
    TurnedAway,
    Waiting,
    free_in,
    hopeless,
    in_order,
)

CAPACITY = Capacity(workers=2, backlog_seconds=0.1, elsewhere_seconds=0.0)


def waiting(number: int = 1, **changes: Any) -> Waiting:
    plain = Waiting(
        number=number,
        urgency=1,
        arrived_at=10.0,
        aim_at=10.8,
        ends_at=15.0,
        work_seconds=0.2,
    )
    return replace(plain, **changes)


def test_late_calls_go_last_and_urgent_ones_first() -> None:
    late = waiting(1, aim_at=10.1, urgency=0)
    usual, urgent = waiting(2), waiting(3, urgency=0)
    assert in_order([late, usual, urgent], 10.0) == [urgent, usual, late]


def test_a_call_that_a_target_lost_does_not_go_last() -> None:
    """Such calls were turned away with an error as late, though time was left."""
    lost = waiting(1, aim_at=10.1, was_sent=True)
    usual = waiting(2)
    assert in_order([usual, lost], 11.0) == [lost, usual]
    assert hopeless([replace(lost, aim_at=9.0)], CAPACITY, 14.0) == []
    assert len(hopeless([replace(usual, aim_at=9.0)], CAPACITY, 14.0)) == 1


def test_what_arrives_makes_late_calls_wait() -> None:
    late = waiting(aim_at=10.1)
    busy = replace(CAPACITY, backlog_seconds=1.5)
    assert hopeless([late], busy, 10.0) == []
    away = hopeless([late], replace(busy, arriving=2.0), 10.0)
    assert [found.call for found in away] == [late]
    assert away[0].free_in > busy.backlog_seconds


def test_without_a_target_all_are_told_when_one_may_be_there() -> None:
    none = replace(CAPACITY, workers=0)
    call = waiting()
    assert hopeless([call], none, 10.0) == [
        TurnedAway(call=call, free_in=NO_TARGET_SECONDS)
    ]
    assert free_in([call], none) == NO_TARGET_SECONDS


def test_all_that_waits_counts_for_who_comes_back() -> None:
    held = waiting(occupied_seconds=1.0)
    elsewhere = replace(CAPACITY, elsewhere_seconds=3.0)
    assert free_in([held, held], CAPACITY) == 0.1 + 2.0 / 2
    assert free_in([held, held], elsewhere) == 0.1 + 5.0 / 2
