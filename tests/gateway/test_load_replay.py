"""Replays the loads that the waiting line and the placement answer."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import mean

import pytest

from gypsumsail.gateway.job import Job
from gypsumsail.gateway.targets import TargetState
from tests.gateway.load_model import Load, LoadModel, Outcome

SEEDS = range(5)
USUAL = Load(rate=9.0)
BURST = Load(rate=9.0, burst=3.0)
ENGINES_LOST = Load(rate=9.0, burst=1.5, lost_engines=2)
TOO_MUCH = Load(rate=30.0)


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
