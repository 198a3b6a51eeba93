"""Finishes calls in the background whose callers have disconnected.

A call that must not be repeated runs to its end, so that its outcome is known.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import MAX_ANSWER_BYTES, REPORTED_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.job import Job
from gypsumsail.gateway.outcomes import Broken, Delivered, SendOutcome
from gypsumsail.gateway.port import AnswerHead, Exchange
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.telemetry import GatewayTelemetry

if TYPE_CHECKING:
    from gypsumsail.gateway.job_send import JobSend


class DetachedCalls:
    """Calls that run without their callers.

    Attributes
    ----------
    tasks
        Tasks of these calls.
    record_head
        Called with a target, the head of its answer, the time of the send and the job.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: GatewayTelemetry,
        record_head: Callable[[TargetState, AnswerHead, float, Job], None],
    ) -> None:
        self.clock = clock
        self.telemetry = telemetry
        self.record_head = record_head
        self.tasks: set[asyncio.Task[None]] = set()

    @callback
    def finish(self, exchange: Exchange, send: JobSend) -> None:
        """Finish a call in the background after its caller has left."""
        task = asyncio.get_running_loop().create_task(
            self._async_finish(exchange, send)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _async_finish(self, exchange: Exchange, send: JobSend) -> None:
        job = send.job
        # The value of this constant also serves as the margin after the deadline.
        left = job.deadline - self.clock.monotonic() + REPORTED_LOAD_MAX_AGE_SECONDS
        outcome: SendOutcome
        try:
            async with asyncio.timeout(max(left, 0.0)):
                head = await exchange.async_head()
                self.record_head(send.state, head, send.sent_at, job)
                await exchange.async_read_all(MAX_ANSWER_BYTES)
            outcome = Delivered(status=head.status)
        except (TransportError, TimeoutError) as err:
            if isinstance(err, TransportError):
                send.state.cold.lose_contact(self.clock.monotonic())
            outcome = Broken(reason=type(err).__name__)
        finally:
            exchange.finish()
        self.telemetry.detached_call_ended(job, outcome, self.clock.monotonic())
