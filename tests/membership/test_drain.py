"""Tests of graceful shutdown."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumsail.membership.drain import (
    Drain,
    DrainAction,
    DrainSettings,
    MarkUnready,
    ReleaseDuties,
    RunningRequest,
    Stop,
    StopReason,
)

SETTINGS = DrainSettings(
    balancer_notice_seconds=5.0, idle_seconds=2.0, limit_seconds=60.0
)
STEP_SECONDS = 0.5


def _running(count: int) -> tuple[RunningRequest, ...]:
    return tuple(
        RunningRequest(request_id=f"r{index}", service="claims")
        for index in range(count)
    )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.integers(0, 2), max_size=150))
def test_stops_only_when_idle_after_the_notice_period_or_at_the_limit(
    loads: list[int],
) -> None:
    drain = Drain(SETTINGS)
    started = drain.signal(now=0.0, running=_running(1))
    assert started == (MarkUnready(), ReleaseDuties())
    assert not drain.ready
    now = 0.0
    stops: list[DrainAction] = []
    for index, count in enumerate(loads):
        now += STEP_SECONDS
        stops += drain.tick(now=now, running=_running(count))
        if not stops:
            assert now < SETTINGS.limit_seconds
            continue
        stop = stops[0]
        assert isinstance(stop, Stop)
        assert stop.cut == _running(count)
        if stop.reason is StopReason.IDLE and now < SETTINGS.limit_seconds:
            assert not any(loads[max(0, index - 3) : index + 1])
            assert now >= SETTINGS.balancer_notice_seconds
        assert not drain.tick(now=now + 1, running=())
        return


def test_second_signal_stops_immediately_and_lists_the_cut_requests() -> None:
    drain = Drain(SETTINGS)
    drain.signal(now=0.0, running=())
    drain.tick(now=1.0, running=_running(2))
    assert drain.signal(now=2.0, running=_running(2)) == (
        Stop(reason=StopReason.SECOND_SIGNAL, seconds=2.0, cut=_running(2)),
    )
    assert not drain.signal(now=3.0, running=())


def test_long_stream_is_cut_only_at_the_limit() -> None:
    drain = Drain(SETTINGS)
    drain.signal(now=0.0, running=_running(1))
    assert not drain.tick(now=59.9, running=_running(1))
    assert drain.tick(now=60.0, running=_running(1)) == (
        Stop(reason=StopReason.LIMIT, seconds=60.0, cut=_running(1)),
    )


def test_request_that_can_outlast_the_limit_is_refused_once_the_balancer_knows() -> (
    None
):
    """LOST: requests on open connections were taken until the limit, and cut there."""
    drain = Drain(SETTINGS)
    assert drain.accepts(deadline_at=1_000.0, now=0.0)
    drain.signal(now=100.0, running=())
    assert drain.accepts(deadline_at=1_000.0, now=104.9)
    assert drain.accepts(deadline_at=160.0, now=105.0)
    assert not drain.accepts(deadline_at=160.1, now=105.0)
