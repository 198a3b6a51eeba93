"""ASGI handler for the requests of callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import logging
import random
from typing import Protocol

from gypsumsail.core.errors import (
    DeadlineError,
    RequestError,
    RunState,
    StoppingError,
    TargetLostError,
)
from gypsumsail.core.ids import new_id
from gypsumsail.entry.answers import add_retry_jitter, async_send_error
from gypsumsail.entry.call import Call, CallFactory
from gypsumsail.entry.const import DEADLINE_GRACE_SECONDS, STOPPING_RETRY_SECONDS
from gypsumsail.entry.head import (
    CallerGoneError,
    Receive,
    Scope,
    Send,
    async_read_body,
    read_head,
)
from gypsumsail.entry.models import Job
from gypsumsail.entry.port import Admission, Reservations
from gypsumsail.entry.validation import RequestValidator
from gypsumsail.logs.request import request_log_context
from gypsumsail.metrics.entry import EntryMetrics
from gypsumsail.once.models import AtMostOnceRequest, Reservation
from gypsumsail.relay.attempts import AttemptDependencies, AttemptLoop
from gypsumsail.timeline.models import Event, EventKind

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerApiDependencies:
    """The components of the entry that calls depend on."""

    validator: RequestValidator
    admission: Admission
    reservations: Reservations
    factory: CallFactory
    relay: AttemptDependencies
    metrics: EntryMetrics
    body_limit: int
    rng: random.Random


class AcceptRequest(Protocol):
    """Function that returns whether a request is taken."""

    def __call__(self, *, deadline_at: float, now: float) -> bool:
        """Return whether a request with a deadline that arrives now is taken."""


def accept_always(*, deadline_at: float, now: float) -> bool:
    """Take all requests, as an entry does that does not stop."""
    return True


class CallerApi:
    """Serves the requests of callers.

    Attributes
    ----------
    active
        Jobs in flight by request id; a graceful shutdown waits for them.
    accepts
        Returns whether a request with a deadline is taken, see ``Drain.accepts``.
    """

    def __init__(self, deps: CallerApiDependencies) -> None:
        self.deps = deps
        self.clock = deps.relay.clock
        self.recorder = deps.relay.recorder
        self.active: dict[str, Job] = {}
        self.accepts: AcceptRequest = accept_always

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        request_id = new_id()
        with request_log_context(request_id):
            await self._async_call(request_id, scope, receive, send)

    async def _async_call(
        self, request_id: str, scope: Scope, receive: Receive, send: Send
    ) -> None:
        try:
            job = await self._async_accept(request_id, scope, receive)
        except RequestError as error:
            self._record_refusal(request_id, error)
            await async_send_error(send, error, request_id)
            return
        except CallerGoneError:
            return
        self.active[request_id] = job
        await self._async_serve(job, receive, send)

    async def _async_accept(
        self, request_id: str, scope: Scope, receive: Receive
    ) -> Job:
        validator = self.deps.validator
        head = read_head(scope)
        route_matches = validator.route_matches(head)
        body = await async_read_body(scope, receive, self.deps.body_limit)
        now = self.clock.monotonic()
        job = validator.make_job(request_id, head, route_matches, body, now)
        if not self.accepts(deadline_at=job.deadline_at, now=now):
            raise StoppingError(
                "the entry stops before the deadline of the request",
                retry_after=STOPPING_RETRY_SECONDS,
            )
        return job

    async def _async_serve(self, job: Job, receive: Receive, send: Send) -> None:
        call = self.deps.factory.make(job, send)
        run = asyncio.create_task(self._async_run(job, call))
        pending: set[asyncio.Task[None]] = {run}
        disconnect: asyncio.Task[None] | None = None
        # A non-repeatable job is not cancelled when its caller disconnects, so that its
        # outcome can be recorded.
        if job.route_match.route.repeatable:
            disconnect = asyncio.create_task(_async_wait_for_disconnect(receive))
            pending.add(disconnect)
        left = max(job.deadline_at - self.clock.monotonic(), 0.0)
        await asyncio.wait(pending, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        if disconnect is not None:
            disconnect.cancel()
        if run.done():
            return
        # A non-repeatable job that was sent runs on after its caller was answered.
        if not job.route_match.route.repeatable and call.work.progress.attempts:
            await call.async_fail(_end_of_wait_error(call))
            return
        run.cancel()
        await asyncio.wait({run})
        error = _end_of_wait_error(call)
        self._record_end(job, error)
        await call.async_fail(error)

    async def _async_run(self, job: Job, call: Call) -> None:
        """Run a job to its end.

        A job that may not be repeated keeps running after its call has ended.
        """
        try:
            async with asyncio.timeout(self._run_timeout(job)):
                await self._async_admit_and_run(job, call)
        except RequestError as error:
            self._record_end(job, error)
            await self._async_send_failure(call, error)
        except TimeoutError:
            self._record_end(job, None)
        except Exception:
            _LOGGER.exception("Request %s failed", job.request_id)
            failure = TargetLostError(
                "internal error of the entry", run_state=call.work.progress.run_state
            )
            self._record_end(job, failure)
            await self._async_send_failure(call, failure)
        finally:
            self.active.pop(job.request_id, None)

    def _run_timeout(self, job: Job) -> float:
        left = max(job.deadline_at - self.clock.monotonic(), 0.0)
        return left + DEADLINE_GRACE_SECONDS

    async def _async_admit_and_run(self, job: Job, call: Call) -> None:
        now = self.clock.monotonic()
        self.deps.admission.admit(job, now)
        self._record(job, EventKind.REQUEST_ACCEPTED, "")
        try:
            reservation = await self._async_reserve(job)
            await AttemptLoop(self.deps.relay, call.work, reservation).async_run()
            await call.async_finish()
        finally:
            self.deps.admission.finished(job, call.work, self.clock.monotonic())
        self._record(job, EventKind.REQUEST_ENDED, RunState.RAN.value)
        self._count_answer(job, call)

    def _count_answer(self, job: Job, call: Call) -> None:
        service = job.route_match.service
        now = self.clock.monotonic()
        metrics = self.deps.metrics
        metrics.count_answer(
            service, job.route_match.customer.name, now - job.accepted_at
        )
        progress = call.work.progress
        if progress.end is not None:
            metrics.count_tokens(service, progress.end)
        if progress.first_token_at is None:
            return
        first_token_seconds = progress.first_token_at - job.accepted_at
        metrics.time_to_first_token.labels(service).observe(first_token_seconds)
        if progress.tokens_sent > 1:
            mean = (now - progress.first_token_at) / (progress.tokens_sent - 1)
            metrics.mean_inter_token_latency.labels(service).observe(mean)

    async def _async_reserve(self, job: Job) -> Reservation | None:
        if job.route_match.route.repeatable:
            return None
        request = AtMostOnceRequest(
            customer=job.route_match.customer.name,
            service=job.route_match.service,
            key=job.head.idempotency_key or None,
            body_digest=job.request_digest,
            request_id=job.request_id,
        )
        now = self.clock.monotonic()
        return await self.deps.reservations.async_reserve(request, now)

    async def _async_send_failure(self, call: Call, error: RequestError) -> None:
        if error.retry_after is not None:
            error.retry_after = add_retry_jitter(error.retry_after, self.deps.rng)
        await call.async_fail(error)

    def _record_end(self, job: Job, error: RequestError | None) -> None:
        """Record the end of a job that did not complete.

        ``error`` is ``None`` if the job was cancelled `DEADLINE_GRACE_SECONDS` after
        its deadline.
        """
        if error is None:
            self._record(job, EventKind.REQUEST_ENDED, RunState.MAY_HAVE_RUN.value)
            return
        self.deps.metrics.count_error(job.route_match.service, error)
        refused = error.run_state is RunState.NOT_RUN
        kind = EventKind.REQUEST_REFUSED if refused else EventKind.REQUEST_ENDED
        self._record(job, kind, f"{error.code}: {error.run_state.value}")

    def _record_refusal(self, request_id: str, error: RequestError) -> None:
        self.deps.metrics.count_error("", error)
        self.recorder.record(
            Event(
                kind=EventKind.REQUEST_REFUSED,
                request_id=request_id,
                detail=f"{error.code}: {error.run_state.value}",
            )
        )

    def _record(self, job: Job, kind: EventKind, detail: str) -> None:
        self.recorder.record(
            Event(
                kind=kind,
                request_id=job.request_id,
                customer=job.route_match.customer.name,
                service=job.route_match.service,
                version=job.route_match.document.version,
                detail=detail,
            )
        )


def _end_of_wait_error(call: Call) -> RequestError:
    """Return the error of a call that ends before its job is done.

    A disconnect of the caller is reported as a passed deadline too; nobody receives
    the message then. A call without an attempt was cancelled before anything was sent
    to a target.
    """
    sent = bool(call.work.progress.attempts)
    state = RunState.MAY_HAVE_RUN if sent else RunState.NOT_RUN
    return DeadlineError("the deadline passed", run_state=state)


async def _async_wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass
