"""Tests of the tracked engine loads."""

from __future__ import annotations

import pytest

from gypsumsail.routing.const import DEFAULT_PREFILL_TOKENS_PER_SECOND
from gypsumsail.routing.loads import EngineLoads, SentWork
from gypsumsail.routing.models import Candidate

from .common import make_report

RATE = int(DEFAULT_PREFILL_TOKENS_PER_SECOND)


def make_work(sent_at: float, **changes: int) -> SentWork:
    tokens = changes.get("tokens", 1000)
    priority = changes.get("priority", 5)
    return SentWork(tokens=tokens, tokens_ahead=0.0, priority=priority, sent_at=sent_at)


def candidate(loads: EngineLoads, *, priority: int = 9, now: float = 10.0) -> Candidate:
    return loads.candidate(
        "e", cached_blocks=0, priority=priority, round_trip_seconds=0.0, now=now
    )


def test_sent_work_counts_until_a_report_sampled_after_it() -> None:
    loads = EngineLoads()
    loads.on_report("e", make_report(), now=9.0)
    loads.on_sent("e", "1", make_work(9.5))
    assert candidate(loads).tokens_ahead == 1000
    loads.on_report("e", make_report(age=0.5, queued_prompt_tokens=1), now=9.9)
    assert candidate(loads, now=9.9).tokens_ahead >= 1000
    loads.on_report("e", make_report(age=0.1, running=1), now=10.0)
    assert candidate(loads).tokens_ahead == 0
    assert candidate(loads).requests == 1


def test_an_older_report_is_dropped() -> None:
    loads = EngineLoads()
    loads.on_report("e", make_report(queued_prompt_tokens=7000), now=10.0)
    loads.on_report("e", make_report(age=3.0), now=10.1)
    assert candidate(loads).tokens_ahead == pytest.approx(7000)


def test_restarted_engine_has_no_load() -> None:
    loads = EngineLoads()
    loads.on_report("e", make_report(queued_prompt_tokens=7000), now=9.0)
    loads.on_sent("e", "1", make_work(9.5))
    loads.on_peer_sent("e", make_work(9.6))
    loads.on_report("e", make_report(incarnation="2", age=5.0), now=9.9)
    assert candidate(loads).tokens_ahead == 0


def test_less_urgent_work_is_not_counted_as_ahead() -> None:
    loads = EngineLoads()
    loads.on_sent("e", "1", make_work(9.5, priority=7))
    loads.on_peer_sent("e", make_work(9.5, priority=2, tokens=300))
    assert candidate(loads, priority=2).tokens_ahead == 300
    assert candidate(loads, priority=7).tokens_ahead == 1300


def test_old_peer_work_is_dropped_without_reports() -> None:
    loads = EngineLoads()
    for second in range(1000):
        loads.on_peer_sent("e", make_work(float(second)))
    assert len(loads.engines["e"].peer_work) < 100


def test_rates_are_estimated_from_earlier_requests() -> None:
    loads = EngineLoads()
    for index in range(20):
        now = float(index)
        loads.on_sent("e", str(index), make_work(now, tokens=5000))
        loads.on_first_token("e", str(index), now=now + 0.5)
        loads.on_ended("e", str(index), answer_tokens=11, now=now + 0.9)
    rates = candidate(loads, now=20.0).rates
    assert rates.prefill_tokens_per_second == pytest.approx(10_000, rel=0.1)
    assert rates.decode_step_seconds == pytest.approx(0.04, rel=0.1)
    assert not loads.engines["e"].sent


def test_the_backlog_is_that_of_the_least_loaded_engine() -> None:
    loads = EngineLoads()
    loads.on_report("e", make_report(queued_prompt_tokens=2 * RATE), now=10.0)
    assert loads.backlog_seconds(["e"], now=10.0) == pytest.approx(2.0)
    loads.on_sent("f", "1", make_work(9.5, tokens=RATE, priority=9))
    assert loads.backlog_seconds(["e", "f"], now=10.0) == pytest.approx(1.0)
    assert loads.backlog_seconds([], now=10.0) == 0.0


def test_engine_without_observations_gets_the_fleet_rate() -> None:
    loads = EngineLoads()
    for index in range(20):
        now = float(index)
        loads.on_sent("e", str(index), make_work(now, tokens=1000))
        loads.on_first_token("e", str(index), now=now + 0.5)
        loads.on_sent("f", str(index), make_work(now, tokens=50))
        loads.on_first_token("f", str(index), now=now + 0.1)
    assert loads.prefill_rate("new", now=20.0) == pytest.approx(2000, rel=0.2)
    assert loads.prefill_rate("f", now=20.0) == pytest.approx(2000, rel=0.2)
