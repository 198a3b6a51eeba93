"""Admits jobs according to the limits and shares of their customers."""

from __future__ import annotations

from typing import Any, Protocol

from gypsumsail.context.blocks import token_count
from gypsumsail.core.errors import OverloadedError, RunState
from gypsumsail.entry.models import Job, ModelJob
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.limits.models import AdmitRequest, Admitted, Shed
from gypsumsail.relay.port import Work


class Workload(Protocol):
    """Estimates of the work of jobs and of the load of engines."""

    def expected_answer_tokens(self, job: ModelJob) -> int:
        """Return the expected answer tokens of a job."""

    def backlog_seconds(self, service: str) -> float:
        """Return the seconds until the least loaded engine could start a job."""


class LimitAdmission:
    """Checks jobs against the limits before they run."""

    def __init__(self, limits: LimitCoordinator, workload: Workload) -> None:
        self.limits = limits
        self.workload = workload

    def admit(self, job: Job, now: float) -> None:
        """Admit a job and charge it to its customer.

        Raises
        ------
        OverloadedError
            The job exceeds a limit or is shed.
        """
        service = job.route_match.service
        request = AdmitRequest(
            customer=job.route_match.customer.name,
            tokens=self._charge(job),
            priority=job.priority,
            backlog=self._backlog_seconds(job),
        )
        match self.limits.admit(service, request):
            case Admitted():
                return
            case Shed(reason=reason, retry_after=retry_after):
                raise OverloadedError(reason.value, retry_after=retry_after)

    def finished(self, job: Job, work: Work[Any], now: float) -> None:
        """Record the end of a job; a job that was not run is refunded."""
        service = job.route_match.service
        tokens = self._charge(job)
        match work.progress.run_state:
            case RunState.RAN:
                self.limits.on_answer_completed(service, tokens)
            case RunState.NOT_RUN:
                customer = job.route_match.customer.name
                self.limits.refund(service, customer, tokens)
            case RunState.MAY_HAVE_RUN:
                pass

    def _charge(self, job: Job) -> float:
        """Return the charge in tokens of the prompt and of the expected answer.

        A plain call is charged one token.
        """
        if not isinstance(job, ModelJob):
            return 1.0
        return token_count(job.body.prompt) + self.workload.expected_answer_tokens(job)

    def _backlog_seconds(self, job: Job) -> float:
        if not isinstance(job, ModelJob):
            return 0.0
        return self.workload.backlog_seconds(job.route_match.service)


class ServiceRetryBudgets:
    """Retry budgets by service."""

    def __init__(self, limits: LimitCoordinator) -> None:
        self.limits = limits

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        return self.limits.retry_budget(service).try_spend(now)
