"""Tests of the admission of jobs at an entry."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random

import pytest

from gypsumsail.core.errors import OverloadedError, RunState
from gypsumsail.document.models import ServiceDocument
from gypsumsail.entry.admission import LimitAdmission
from gypsumsail.entry.models import ModelJob
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.peers.port import EntryId
from gypsumsail.relay.models import Constraints, Progress, Selection
from tests.common import ManualClock
from tests.context.common import FakeNetwork
from tests.relay.common import make_job


@dataclass
class DoneWork:
    """Work of a job that has ended."""

    progress: Progress
    job: ModelJob = field(default_factory=make_job)

    async def async_select(self, constraints: Constraints) -> Selection:
        raise NotImplementedError

    async def async_attempt(self, selection: Selection, attempt_id: str) -> None:
        raise NotImplementedError

    def cancel_attempt(self, selection: Selection, attempt_id: str) -> None:
        raise NotImplementedError


@dataclass
class FixedWorkload:
    """Workload with a fixed backlog, in which answers reach ``max_tokens``."""

    seconds: float

    def expected_answer_tokens(self, job: ModelJob) -> int:
        return job.body.max_tokens

    def backlog_seconds(self, service: str) -> float:
        return self.seconds


class JobDocument:
    """Document source with a limit for the customer of the test job."""

    def document(self, service: str) -> ServiceDocument | None:
        document = make_job().route_match.document.document
        (customer,) = document.customers
        limited = replace(customer, tokens_per_second=100.0)
        return replace(document, customers=(limited,))


def make_admission(backlog: float) -> LimitAdmission:
    me = EntryId(name="a", incarnation="1", zone="z")
    limits = LimitCoordinator(
        me, FakeNetwork(me, {}), JobDocument(), ManualClock(), Random(1)
    )
    return LimitAdmission(limits, FixedWorkload(backlog))


def admitted(admission: LimitAdmission) -> int:
    """Return the number of jobs admitted before the first refusal."""
    for count in range(100):
        try:
            admission.admit(make_job(), 1000.0)
        except OverloadedError:
            return count
    return 100


def test_refusal_at_the_limit_states_that_the_job_did_not_run() -> None:
    admission = make_admission(0.0)
    assert 0 < admitted(admission) < 100
    with pytest.raises(OverloadedError) as refusal:
        admission.admit(make_job(), 1000.0)
    assert refusal.value.run_state is RunState.NOT_RUN
    assert refusal.value.retry_after is not None


def test_job_is_shed_at_a_long_backlog() -> None:
    assert admitted(make_admission(1000.0)) == 0


@pytest.mark.parametrize(
    ("state", "room"),
    [
        (RunState.NOT_RUN, True),
        (RunState.MAY_HAVE_RUN, False),
        (RunState.RAN, False),
    ],
)
def test_tokens_of_jobs_that_did_not_run_are_refunded(
    state: RunState, room: bool
) -> None:
    admission = make_admission(0.0)
    admitted(admission)
    work = DoneWork(Progress(run_state=state))
    admission.finished(make_job(), work, 1000.0)
    assert (admitted(admission) > 0) == room
    served = admission.limits.states["claims"].served.amount
    assert (served > 0) == (state is RunState.RAN)
