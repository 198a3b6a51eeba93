"""Runs a job on a plain HTTP service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.entry.models import PlainJob
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import (
    AttemptFailedError,
    Constraints,
    FailureKind,
    Progress,
    Selection,
)
from gypsumsail.targets.port import PlainAnswer, PlainRequest, PlainService


class PlainSelector(Protocol):
    """Selects targets of plain services and counts the calls in flight on each."""

    def select(self, job: PlainJob, constraints: Constraints) -> Selection:
        """Select a target; raises RequestError if none is available."""

    def on_sent(self, selection: Selection) -> None:
        """Count a call that is about to be sent."""

    def on_ended(self, selection: Selection) -> None:
        """Count a call that has ended."""


class PlainWork:
    """One job of a plain service and its complete answer."""

    def __init__(
        self,
        job: PlainJob,
        *,
        selector: PlainSelector,
        service_of: Callable[[VmRecord], PlainService],
        clock: Clock,
    ) -> None:
        self.job = job
        self.progress = Progress()
        self.selector = selector
        self.service_of = service_of
        self.clock = clock
        self.answer: PlainAnswer | None = None

    async def async_select(self, constraints: Constraints) -> Selection:
        """Select a target."""
        return self.selector.select(self.job, constraints)

    async def async_attempt(self, selection: Selection, attempt_id: str) -> None:
        """Send one call and store its answer."""
        head = self.job.head
        request = PlainRequest(
            attempt_id=attempt_id,
            method=head.method,
            path=head.path,
            query=head.query,
            content_type=head.content_type,
            body=self.job.body,
            deadline=max(self.job.deadline_at - self.clock.monotonic(), 0.0),
        )
        self.selector.on_sent(selection)
        try:
            self.answer = await self.service_of(selection.vm).async_call(request)
        except TransportError as error:
            kind = FailureKind.LOST if error.sent else FailureKind.NOT_SENT
            raise AttemptFailedError(str(error), kind=kind) from error
        finally:
            self.selector.on_ended(selection)

    def cancel_attempt(self, selection: Selection, attempt_id: str) -> None:
        """Do nothing, because plain services cannot cancel a call."""
