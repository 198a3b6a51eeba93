"""Tests of the decision after a failed attempt."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.core.errors import RunState
from gypsumsail.relay.models import FailureKind, GiveUp, Progress, Retry
from gypsumsail.relay.next_step import next_step, run_state_after

UNCERTAIN = {FailureKind.LOST, FailureKind.CRASHED}


@settings(derandomize=True)
@given(kinds=st.lists(st.sampled_from(FailureKind), min_size=1, max_size=8))
def test_non_repeatable_request_runs_at_most_once(
    kinds: list[FailureKind],
) -> None:
    progress = Progress()
    for kind in kinds:
        progress.attempts += 1
        progress.run_state = run_state_after(kind, progress.run_state)
        step = next_step(
            progress,
            kind,
            "engine-1",
            repeatable=False,
            budget_allows=True,
            seconds_left=10.0,
        )
        if kind in UNCERTAIN:
            assert isinstance(step, GiveUp)
            assert step.error.run_state is RunState.MAY_HAVE_RUN
        if isinstance(step, GiveUp):
            break


@pytest.mark.parametrize("kind", sorted(FailureKind))
def test_retries_stop_when_the_budget_is_exhausted(kind: FailureKind) -> None:
    progress = Progress(attempts=1, run_state=run_state_after(kind, RunState.NOT_RUN))
    step = next_step(
        progress,
        kind,
        "engine-1",
        repeatable=True,
        budget_allows=False,
        seconds_left=10.0,
    )
    assert isinstance(step, GiveUp)
    assert step.error.run_state is progress.run_state


def test_crashed_target_is_excluded_and_lost_target_may_be_retried() -> None:
    progress = Progress(attempts=1, run_state=RunState.MAY_HAVE_RUN)
    steps = [
        next_step(
            progress,
            kind,
            "engine-1",
            repeatable=True,
            budget_allows=True,
            seconds_left=1.0,
        )
        for kind in (FailureKind.CRASHED, FailureKind.LOST)
    ]
    assert steps == [
        Retry(excluded=frozenset({"engine-1"})),
        Retry(excluded=frozenset()),
    ]
