"""Replays the loads that the waiting line and the placement answer."""

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


def fewest_calls(
    states: Sequence[TargetState], job: Job, now: float
) -> TargetState | None:
    """Choose as a balancer that counts calls and knows nothing of prompts."""
    return min(states, key=lambda state: (state.calls(now), state.entry.name))


def replay(load: Load, *, naive: bool = False) -> list[Outcome]:
    """Replay a load with several seeds."""
    choose = fewest_calls if naive else None
    return [LoadModel(load, seed, choose).run() for seed in SEEDS]


def share(outcomes: list[Outcome]) -> float:
    """Return the mean share in time."""
    return mean(outcome.share_in_time for outcome in outcomes)


def test_the_usual_load_is_served_in_time() -> None:
    assert share(replay(USUAL)) >= 0.95


@pytest.mark.parametrize("load", [USUAL, BURST, ENGINES_LOST, TOO_MUCH])
def test_more_is_served_in_time_than_by_counting_calls(load: Load) -> None:
    assert share(replay(load)) > share(replay(load, naive=True))


def test_an_overload_makes_some_late_and_not_all() -> None:
    """With the order of arrival alone nearly every call would be late."""
    outcomes = replay(TOO_MUCH)
    assert share(outcomes) >= 0.3


def test_a_call_that_is_refused_has_not_waited_to_its_end() -> None:
    """Calls end 5 s after their arrival; a refusal leaves time to come back."""
    waits = [wait for outcome in replay(TOO_MUCH) for wait in outcome.refused_after]
    assert waits
    assert max(waits) < 4.6


def test_a_call_that_can_not_be_served_is_refused_at_once() -> None:
    """Calls that were late only because of newer ones waited 1.2 s in vain."""
    outcomes = replay(replace(TOO_MUCH, retries_after_refusal=True))
    waits = [wait for outcome in outcomes for wait in outcome.refused_after]
    assert median(waits) < 0.1


@pytest.mark.parametrize("load", [BURST, ENGINES_LOST])
def test_who_comes_back_when_told_to_is_served(load: Load) -> None:
    outcomes = replay(replace(load, retries_after_refusal=True))
    retried = sum(outcome.retried for outcome in outcomes)
    served = sum(outcome.retried_served for outcome in outcomes)
    assert served >= 0.7 * retried


def test_long_runs_that_fill_the_memory_are_foreseen() -> None:
    """Prompts are read in no time; engines have room again when answers end."""
    outcomes = replay(MEMORY_FULL)
    assert share(outcomes) > share(replay(MEMORY_FULL, naive=True))
    waits = [wait for outcome in outcomes for wait in outcome.refused_after]
    assert median(waits) < 0.25 * (MEMORY_FULL.timeout - MEMORY_FULL.latency_goal)
