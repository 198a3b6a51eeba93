"""Admission of an entry's jobs by customers' limits and load."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gypsumsail.context.blocks import token_count
from gypsumsail.context.const import BYTES_PER_TOKEN
from gypsumsail.core.errors import OverloadedError, RunState
from gypsumsail.entry.models import Job, ModelJob, PlainJob
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.limits.models import AdmitRequest, Shed
from gypsumsail.relay.port import Work


class LimitAdmission:
    """Limits of customers; implements the port ``Admission``.

    Parameters
    ----------
    backlog
        Returns the seconds until the least loaded target of a service would
        start a request.
    """

    def __init__(
        self, limits: LimitCoordinator, *, backlog: Callable[[str], float]
    ) -> None:
        self.limits = limits
        self.backlog = backlog

    def admit(self, job: Job, now: float) -> None:
        """Count a job in.

        Raises
        ------
        OverloadedError
            The job is over a limit or is shed.
        """
        service = job.placement.service
        request = AdmitRequest(
            customer=job.placement.customer.name,
            tokens=_tokens(job),
            priority=job.priority,
            backlog=self.backlog(service),
        )
        outcome = self.limits.admit(service, request)
        if isinstance(outcome, Shed):
            raise OverloadedError(
                f"shed: {outcome.reason}", retry_after=outcome.retry_after
            )

    def finished(self, job: Job, work: Work[Any], now: float) -> None:
        """Count a job out, and give back what it didn't use."""
        service = job.placement.service
        unused = _unused(job, work)
        self.limits.give_back(service, job.placement.customer.name, unused)
        if work.progress.run_state is RunState.RAN:
            self.limits.on_answer_ended(service, _tokens(job) - unused)


def _tokens(job: Job) -> float:
    """Return the most tokens that a job can use."""
    match job:
        case ModelJob(body=body):
            return token_count(body.prompt) + body.max_tokens
        case PlainJob(body=data):
            return 1 + len(data) / BYTES_PER_TOKEN
        case _:
            return 1


def _unused(job: Job, work: Work[Any]) -> float:
    """Return the tokens of the charge that were not used."""
    if work.progress.run_state is RunState.NOT_RUN:
        return _tokens(job)
    match job:
        case ModelJob(body=body):
            return max(body.max_tokens - work.progress.tokens_out, 0)
        case _:
            return 0
