"""Tests of queueing and placement with simulated loads."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from statistics import mean, median

import pytest

from gypsumsail.gateway.job import Job
from gypsumsail.gateway.targets import TargetState
from tests.gateway.load_model import Load, LoadModel, Outcome

SEEDS = range(5)
USUAL = Load(rate=9.0)
BURST = Load(rate=9.0, burst=3.0)
ENGINES_LOST = Load(rate=9.0, burst=1.5, lost_engines=2)
TOO_MUCH = Load(rate=30.0)
MEMORY_FULL = Load(
    rate=30.0,
    seconds=20.0,
    engines=1,
    vms=2,
    documents=400,
    document_tokens=650,
    question_tokens=177,
    run_seconds=(2.0, 4.0),
    latency_goal=1.2,
    timeout=15.0,
)

FAST_ENGINES = Load(
    rate=50.0,
    seconds=6.0,
    engines=6,
    vms=9,
    documents=60,
    document_tokens=9_100,
    question_tokens=2_900,
    latency_goal=0.6,
    timeout=10.0,
    prefill_tokens_per_second=140_000.0,
    memory_tokens=110_000,
    patience=2.4,
)
MANY_VMS = Load(
    rate=50.0, seconds=3.0, engines=30, vms=60, documents=240, gossip_interval=0.5
)
IMPATIENT = Load(rate=30.0, timeout=12.0, patience=2.4)


def fewest_calls(
    states: Sequence[TargetState], job: Job, now: float
) -> TargetState | None:
    """Choose like a least-connections balancer that ignores the prompts."""
    return min(states, key=lambda state: (state.calls(now), state.entry.name))


def simulate(load: Load, *, naive: bool = False) -> list[Outcome]:
    """Simulate a load once for each seed."""
    choose = fewest_calls if naive else None
    return [LoadModel(load, seed, choose).run() for seed in SEEDS]


def share(outcomes: list[Outcome]) -> float:
    """Return the mean share of calls whose first token came in time."""
    return mean(outcome.share_in_time for outcome in outcomes)


def test_usual_load_is_served_in_time() -> None:
    assert share(simulate(USUAL)) >= 0.95


@pytest.mark.parametrize("load", [USUAL, BURST, ENGINES_LOST, TOO_MUCH])
def test_more_calls_are_in_time_than_with_least_connections(load: Load) -> None:
    assert share(simulate(load)) > share(simulate(load, naive=True))


def test_overload_makes_only_some_calls_late() -> None:
    """With a first-in, first-out queue nearly every call would be late."""
    outcomes = simulate(TOO_MUCH)
    assert share(outcomes) >= 0.3


def test_refused_call_has_time_left_to_retry() -> None:
    """The deadline is 5 s after arrival; a refusal must leave 0.4 s for a retry."""
    waits = [wait for outcome in simulate(TOO_MUCH) for wait in outcome.refused_after]
    assert waits
    assert max(waits) < 4.6


def test_call_that_can_not_be_served_is_refused_at_once() -> None:
    """Guards against queueing calls for 1.2 s while newer calls are placed first."""
    outcomes = simulate(replace(TOO_MUCH, retries_after_refusal=True))
    waits = [wait for outcome in outcomes for wait in outcome.refused_after]
    assert median(waits) < 0.1


@pytest.mark.parametrize("load", [BURST, ENGINES_LOST])
def test_call_that_retries_after_given_delay_is_served(load: Load) -> None:
    outcomes = simulate(replace(load, retries_after_refusal=True))
    retried = sum(outcome.retried for outcome in outcomes)
    served = sum(outcome.retried_served for outcome in outcomes)
    assert served >= 0.7 * retried


def test_generations_that_fill_memory_are_predicted() -> None:
    """Prefill takes almost no time; memory is freed only when answers end."""
    outcomes = simulate(MEMORY_FULL)
    assert share(outcomes) > share(simulate(MEMORY_FULL, naive=True))
    waits = [wait for outcome in outcomes for wait in outcome.refused_after]
    assert median(waits) < 0.25 * (MEMORY_FULL.timeout - MEMORY_FULL.latency_goal)


def test_engines_of_unknown_speed_are_used_from_the_first_second() -> None:
    """The engines are seven times as fast as is assumed without measurements."""
    outcomes = simulate(FAST_ENGINES)
    assert share(outcomes) >= 0.95
    assert not any(outcome.left_untried for outcome in outcomes)


def test_callers_are_refused_before_they_leave() -> None:
    """Guards against queueing streams whose callers leave long before the deadline."""
    outcomes = simulate(IMPATIENT)
    assert not any(outcome.left_untried for outcome in outcomes)
    waits = [wait for outcome in outcomes for wait in outcome.refused_after]
    assert median(waits) < 0.1


def test_many_vms_with_old_reports_do_not_flood_one_engine_after_another() -> None:
    """Guards against all VMs choosing the engine that their reports show as free.

    The load is that of ``USUAL``, 1.7 calls a second for each engine. With 60 VMs and
    reports that are half a second old, 3 of 10 calls were in time.
    """
    outcome = LoadModel(MANY_VMS, 0).run()
    assert outcome.share_in_time >= 0.95
