"""Serves calls from routing and queueing to the sends and the final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
import random
from typing import Final

from gypsumsail.cold_targets.models import ColdStatement
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import (
    CrashSuspectError,
    HttpVersionError,
    InvalidRequestError,
    NoTargetError,
    RequestError,
    StreamUnknownError,
    UnauthorizedError,
    UnknownServiceError,
)
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.call_limit import InvalidLimit
from gypsumsail.gateway.const import DEFAULT_TIMEOUT_SECONDS
from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.detached_calls import DetachedCalls
from gypsumsail.gateway.fingerprints import fingerprint, shared_parts
from gypsumsail.gateway.fleet_view import FleetView
from gypsumsail.gateway.forwarding import (
    ForwardClient,
    ForwardSend,
    ForwardTerms,
    HelperDirectory,
)
from gypsumsail.gateway.job import Assignment, Job, call_facts
from gypsumsail.gateway.job_send import JobSend
from gypsumsail.gateway.liveness import LivenessChecks
from gypsumsail.gateway.models import (
    Call,
    CallKind,
    Customer,
    HeaderPairs,
    Route,
    RoutingDocument,
    Service,
    TargetEntry,
)
from gypsumsail.gateway.notices import AnswerNotices
from gypsumsail.gateway.outcomes import (
    BreakOff,
    Delivered,
    Fail,
    FinalAnswer,
    Finished,
    PassOn,
    Refuse,
    SendOutcome,
    counts_as_retry,
    final_answer,
    should_try_another_target,
)
from gypsumsail.gateway.part_suspects import PartSuspects
from gypsumsail.gateway.placement import Forward, Placed
from gypsumsail.gateway.placer import JobPlacer
from gypsumsail.gateway.port import (
    NO_TRANSFER,
    AnswerHead,
    CallerReply,
    ContextTransfer,
    TargetClient,
)
from gypsumsail.gateway.retry_after import retry_after
from gypsumsail.gateway.retry_budget import RetryBudget, RetryLimit
from gypsumsail.gateway.routes import (
    effective_priority,
    find_customer,
    find_route,
    pick_service,
)
from gypsumsail.gateway.second_sends import SecondSends
from gypsumsail.gateway.service_queue import ServiceQueue
from gypsumsail.gateway.stream_builds import StreamBuilds, longest_stream
from gypsumsail.gateway.stream_resumption import StreamResumption
from gypsumsail.gateway.targets import InFlightCall, TargetState
from gypsumsail.gateway.telemetry import GatewayTelemetry

NO_RETRY_ERRORS: Final = (
    UnauthorizedError,
    UnknownServiceError,
    HttpVersionError,
    CrashSuspectError,
    StreamUnknownError,
)
"""Refusals after which the same call would be refused again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of the gateway that the deployment provides."""

    retry_limit: RetryLimit


class Gateway:
    """Serves all calls of this VM.

    Attributes
    ----------
    calls
        Client that sends calls to targets.
    document
        Routing document in force; ``None`` until one is loaded.
    jobs
        Calls that are being served, by number.
    detached
        Calls that run to their end after their caller disconnected.
    transfer_planner
        Function that returns the prompt parts that an engine fetches and saves for a
        job.
    on_first_token
        Called with a job, its assignment and the current time at the first token of
        each send; not called for a job without a prompt.
    forward_client, helpers
        Client that forwards calls to other VMs, and the choice among these; ``None``
        where there are none.
    second_sends
        Sends slow calls to a second target; ``None`` where that is off.
    on_target_news
        Called with a target that says that it leaves or names another limit, and the
        current time.
    knows_targets
        Returns whether the targets were listed since the start.
    """

    def __init__(
        self,
        view: FleetView,
        calls: TargetClient,
        clock: Clock,
        settings: GatewaySettings,
        telemetry: GatewayTelemetry,
    ) -> None:
        self.view = view
        self.calls = calls
        self.clock = clock
        self.settings = settings
        self.telemetry = telemetry
        self.document: RoutingDocument | None = None
        self.jobs: dict[int, Job] = {}
        self.queues: dict[str, ServiceQueue] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.crash_suspects = CrashSuspectTracker()
        view.targets.on_life_listed = self._record_life_listed
        view.targets.on_life_ended = self._record_life_ended
        view.targets.on_cold = telemetry.target_cold
        view.on_cold_held = telemetry.cold.call_held
        self.part_suspects = PartSuspects()
        self.part_suspects.on_blocked = telemetry.part_blocked
        self.part_suspects.on_released = telemetry.part_released
        self.stream_builds = StreamBuilds(clock.monotonic())
        self.resumption = StreamResumption(self.stream_builds, clock, telemetry)
        view.build_of = self.stream_builds.build_of
        view.on_division = telemetry.engines_divided
        view.isolation.on_changed = telemetry.isolated_changed
        view.isolation.calls = self.jobs.values()
        self.liveness = LivenessChecks(calls, view.targets, clock)
        self.liveness.on_checked = telemetry.target_checked
        self.knows_targets: Callable[[], bool] = lambda: True
        calls.on_skipped = telemetry.answer_skipped
        self.random = random.Random()
        self.last_number = 0
        self.detached = DetachedCalls(clock, telemetry, self.record_head)
        self.transfer_planner: (
            Callable[[Job, Assignment, float], ContextTransfer] | None
        ) = None
        self.on_first_token: Callable[[Job, Assignment, float], None] | None = None
        self.forward_client: ForwardClient | None = None
        self.helpers: HelperDirectory | None = None
        self.second_sends: SecondSends | None = None
        self.on_target_news: Callable[[TargetState, float], None] = lambda state, now: (
            None
        )

    @callback
    def set_document(self, document: RoutingDocument) -> None:
        """Apply a routing document; queues of removed services are kept."""
        self.document = document
        self.view.isolation.apply_document(document.isolated_customers)
        self.view.targets.set_cold_terms(document.services, self.clock.monotonic())
        self.stream_builds.note_return(longest_stream(document))
        for name, service in document.services.items():
            queue = self.queues.get(name)
            if queue is None:
                placer = JobPlacer(self.view, service, self.jobs)
                self.queues[name] = ServiceQueue(placer, self.clock)
            else:
                assert isinstance(queue.placer, JobPlacer)
                queue.placer.service = service

    @callback
    def tick(self, now: float) -> None:
        """Run the periodic liveness checks and note the builds of the targets."""
        self.liveness.tick(now)
        states = self.view.targets.states.values()
        self.stream_builds.note_targets(
            (state.entry for state in states), now, are_listed=self.knows_targets()
        )

    @callback
    def dispatch(self) -> None:
        """Dispatch all queues after the state of targets has changed."""
        for queue in self.queues.values():
            queue.dispatch()

    @property
    def document_revision(self) -> int:
        """Return the revision of the document in force; 0 without one."""
        return self.document.revision if self.document is not None else 0

    async def async_handle(
        self, call: Call, reply: CallerReply, terms: ForwardTerms | None = None
    ) -> None:
        """Serve one call until it has its final answer.

        Parameters
        ----------
        terms
            What accompanies a call that another VM has forwarded.
        """
        try:
            job = self._accept(call, terms)
        except RequestError as err:
            self._refuse_call(call, None, reply, err)
            return
        self.jobs[job.number] = job
        try:
            await self._async_serve(job, reply)
        except RequestError as err:
            self._refuse_call(call, job, reply, err)
        except asyncio.CancelledError:
            self.telemetry.caller_left(job, self.clock.monotonic())
            raise
        finally:
            job.release()
            del self.jobs[job.number]
            self.queues[job.service].dispatch()

    def _accept(self, call: Call, terms: ForwardTerms | None) -> Job:
        document = self.document
        if document is None:
            raise NoTargetError(
                "no routing document has been loaded yet", retry_after=1.0
            )
        if not call.request_id:
            raise InvalidRequestError("the request id is missing")
        route = find_route(document, call.host, call.path)
        customer = find_customer(document, route, call.api_key)
        if route.kind is CallKind.STREAM and not call.reads_chunks:
            raise HttpVersionError("a stream can't be sent to a caller of HTTP/1.0")
        service = pick_service(route, self.random.random())
        if terms is not None and route.allows(terms.service):
            service = terms.service
        if service not in self.queues or service not in document.services:
            raise NoTargetError(
                "the routing document lacks the service", retry_after=1.0
            )
        request_fingerprint = fingerprint(call, customer)
        if self.crash_suspects.is_blocked(request_fingerprint):
            raise _blocked_request_error(request_fingerprint)
        blocked_part = self.part_suspects.blocked_part(
            shared_parts(call), call.received_at
        )
        if blocked_part is not None:
            raise _blocked_part_error(blocked_part)
        budget = self.budgets.setdefault(service, RetryBudget())
        job = self._job(call, route, customer, service, request_fingerprint)
        if terms is None:
            budget.count_call(self.settings.retry_limit, call.received_at)
        else:
            # The VM that received the call has counted it.
            job.is_forwarded = True
            job.targets_used = max(route.max_targets - terms.max_targets, 0)
            job.build = terms.build or None
        return job

    def _job(
        self,
        call: Call,
        route: Route,
        customer: Customer,
        service: str,
        request_fingerprint: str,
    ) -> Job:
        self.last_number += 1
        deadline = call.received_at + (route.timeout or DEFAULT_TIMEOUT_SECONDS)
        if call.deadline is not None:
            deadline = min(deadline, call.deadline)
        return Job(
            number=self.last_number,
            call=call,
            route=route,
            customer=customer,
            service=service,
            priority=effective_priority(route, customer),
            due_at=call.received_at + route.latency_goal,
            deadline=deadline,
            fingerprint=request_fingerprint,
            resume_after=call.resume_after,
            shared_parts=shared_parts(call),
            isolated=self.view.isolation.names,
        )

    async def _async_serve(self, job: Job, reply: CallerReply) -> None:
        queue = self.queues[job.service]
        assert isinstance(queue.placer, JobPlacer)
        outcome: SendOutcome | None = None
        is_resumed = job.resume_after and job.route.kind is CallKind.STREAM
        if is_resumed and job.build is None:
            job.build = await self.resumption.async_find_build(job)
        while True:
            work_seconds = queue.placer.work_seconds(job, self.clock.monotonic())
            try:
                memory_seconds = queue.placer.memory_seconds(job)
                waiting = job.queued_call(work_seconds, memory_seconds)
                now = self.clock.monotonic()
                if not queue.placer.should_forward(job, now):
                    queue.placer.record_arrival(job, now)
                placed = await queue.async_place(waiting)
            except NoTargetError:
                if outcome is None:
                    raise
                break
            now = self.clock.monotonic()
            refusal = self._crash_refusal(job, now)
            if refusal is not None:
                if outcome is None:
                    raise refusal
                break
            job.placed_at = job.placed_at or now
            if isinstance(placed, Forward):
                outcome = await self._async_forward(job, placed.host, reply)
            else:
                outcome = await self._async_send(job, placed, reply)
            if not self._should_continue(job, outcome, reply, work_seconds):
                break
        self._finish(job, outcome, reply)

    def _crash_refusal(self, job: Job, now: float) -> CrashSuspectError | None:
        """Return why a job is not sent, as targets may have crashed since it came."""
        blocked_part = self.part_suspects.admit(job.shared_parts, now)
        if blocked_part is not None:
            return _blocked_part_error(blocked_part)
        if self.crash_suspects.is_blocked(job.fingerprint):
            return _blocked_request_error(job.fingerprint)
        return None

    async def _async_send(
        self, job: Job, placed: Placed, reply: CallerReply
    ) -> SendOutcome:
        """Send a job to the target that it is assigned to."""
        assert job.assignment is not None
        self.telemetry.placed(
            job, job.assignment, placed.answer_delay, self.clock.monotonic()
        )
        send = JobSend(self, job, job.assignment, reply)
        if self.second_sends is None or not self.second_sends.applies_to(send):
            return await self.async_run_send(send)
        outcome = await self.second_sends.async_run(send)
        job.release()
        return outcome

    async def async_run_send(self, send: JobSend) -> SendOutcome:
        """Run one send of a job and record its outcome."""
        job = send.job
        outcome = await send.async_run()
        if isinstance(outcome, Delivered):
            self.crash_suspects.record_answered(job.fingerprint)
        self.telemetry.send_ended(
            job,
            send.assignment,
            outcome,
            self.crash_suspects.crashes(job.fingerprint),
            self.clock.monotonic(),
        )
        job.release()
        return outcome

    async def _async_forward(
        self, job: Job, host: str, reply: CallerReply
    ) -> SendOutcome:
        """Have another VM serve a job."""
        self.telemetry.forwarded(job, host, self.clock.monotonic())
        outcome = await ForwardSend(self, job, host, reply).async_run()
        self.telemetry.forward_ended(job, host, outcome, self.clock.monotonic())
        return outcome

    def _should_continue(
        self, job: Job, outcome: SendOutcome, reply: CallerReply, work_seconds: float
    ) -> bool:
        now = self.clock.monotonic()
        if not should_try_another_target(
            outcome, call_facts(job, reply, now, work_seconds)
        ):
            return False
        if reply.has_begun and job.helpers_tried:
            # The weights with which the helper's target began are not known here.
            return False
        if not counts_as_retry(outcome):
            return True
        if self.part_suspects.stops_retries(job.shared_parts):
            return False
        if self.crash_suspects.is_blocked(job.fingerprint):
            return False
        budget = self.budgets[job.service]
        return budget.take(self.settings.retry_limit, self.view.vms(), now)

    def service(self, job: Job) -> Service:
        """Return the service of a job, also if the document lacks it by now."""
        placer = self.queues[job.service].placer
        assert isinstance(placer, JobPlacer)
        return placer.service

    @callback
    def may_retry(self, job: Job) -> bool:
        """Return whether the retry budget allows another send of a job."""
        now = self.clock.monotonic()
        limit = self.settings.retry_limit
        return self.budgets[job.service].allows(limit, self.view.vms(), now)

    def _finish(self, job: Job, outcome: SendOutcome, reply: CallerReply) -> None:
        answer = final_answer(
            outcome, may_have_run=job.may_have_run, has_reply_begun=reply.has_begun
        )
        now = self.clock.monotonic()
        self._send_final_answer(job, answer, reply, now)
        self.telemetry.finished(job, answer, outcome, now)

    def _send_final_answer(
        self, job: Job, answer: FinalAnswer, reply: CallerReply, now: float
    ) -> None:
        match answer:
            case Finished():
                return
            case PassOn(error=error):
                reply.send(error.status, error.headers, error.body)
            case Refuse():
                reply.send(
                    503,
                    self._retry_after_headers(job.call, self._expected_wait(job, now)),
                    b"",
                )
            case Fail(status=status):
                reply.send(status, (), b"")
            case BreakOff():
                reply.abort()

    def _expected_wait(self, job: Job, now: float) -> float:
        return self.queues[job.service].expected_wait(now)

    def _refuse_call(
        self, call: Call, job: Job | None, reply: CallerReply, err: RequestError
    ) -> None:
        """Refuse a call that has not run on any target."""
        now = self.clock.monotonic()
        status = err.status
        if isinstance(err, CrashSuspectError):
            status = 503
        headers: HeaderPairs = ()
        if not isinstance(err, NO_RETRY_ERRORS):
            headers = self._retry_after_headers(call, err.retry_after or 0.0)
        reply.send(status, headers, b"")
        reachability = (
            self.view.targets.reachability(job.service, now)
            if job is not None
            else None
        )
        self.telemetry.refused(call, job, err, status, now, reachability)

    def _retry_after_headers(self, call: Call, expected_wait: float) -> HeaderPairs:
        now = self.clock.monotonic()
        left = None if call.deadline is None else call.deadline - now
        seconds = retry_after(expected_wait, left, self.random.random())
        return ((b"retry-after", f"{seconds:.2f}".encode()),)

    @callback
    def plan_transfer(
        self, job: Job, assignment: Assignment, now: float
    ) -> ContextTransfer:
        """Return the prompt parts to transfer between the engine and the stores."""
        if self.transfer_planner is None or job.call.prompt is None:
            return NO_TRANSFER
        return self.transfer_planner(job, assignment, now)

    @callback
    def first_token(
        self, job: Job, assignment: Assignment, in_flight_call: InFlightCall, now: float
    ) -> None:
        """Update the prefill speed and the cache model at a job's first token."""
        prompt = job.call.prompt
        if prompt is None:
            return
        prefilled_tokens = (
            in_flight_call.tokens_ahead + in_flight_call.pending_prefill_tokens
        )
        self.view.targets.rate(job.service).observe(
            prefilled_tokens, now - in_flight_call.placed_at
        )
        in_use = assignment.state.tokens(now)
        assignment.state.cache.add(assignment.cache_scope, prompt.parts, in_use)
        if self.on_first_token is not None:
            self.on_first_token(job, assignment, now)

    @callback
    def record_head(
        self, state: TargetState, head: AnswerHead, sent_at: float, job: Job
    ) -> None:
        """Apply what the head of an answer says of the target's state.

        Parameters
        ----------
        sent_at
            Time at which the call was sent.
        """
        if head.is_from_another(state.entry.name):
            return
        if head.load is not None and state.record_load(head.load):
            self.telemetry.work_factor_invalid(state, head.load.invalid_factor)
        self.record_notices(state, head.notices, sent_at, job.call.request_id)

    @callback
    def record_notices(
        self,
        state: TargetState,
        notices: AnswerNotices,
        sent_at: float,
        request_id: str | None = None,
    ) -> None:
        """Apply what a target says of itself in an answer.

        Parameters
        ----------
        sent_at
            Time at which the call was sent.
        request_id
            Request that was answered; ``None`` for reports and orders.
        """
        now = self.clock.monotonic()
        is_news = False
        if notices.is_leaving and self._record_leaving(state):
            is_news = True
            self.telemetry.target_leaving(state.entry, "answer", request_id)
        if notices.pause is None:
            state.pause.record_answer(sent_at)
        else:
            seconds = state.pause.record(notices.pause, self.random.random(), now)
            self.telemetry.target_paused(state, notices.pause, seconds, request_id)
        if isinstance(notices.limit, InvalidLimit):
            self.telemetry.target_limit_invalid(state, notices.limit.text)
        if notices.cold is not None:
            self.record_cold(state, notices.cold, sent_at)
        wall_ms = round(self.clock.wall() * MILLISECONDS_PER_SECOND)
        if state.limit.record(notices.limit, sent_at, now, wall_ms):
            is_news = True
            self.telemetry.target_limited(state, "answer", request_id)
        if is_news:
            self.on_target_news(state, now)

    @callback
    def record_cold(
        self, state: TargetState, cold: ColdStatement, sent_at: float
    ) -> None:
        """Apply the time for which a target says that it stays cold."""
        if state.cold.record_header(cold, sent_at, self.clock.monotonic()):
            self.telemetry.target_cold_invalid(state, cold)

    def _record_leaving(self, state: TargetState) -> bool:
        return self.view.targets.record_leaving(state.entry.name, state.entry.life)

    @callback
    def record_unanswered_crash(
        self, state: TargetState, orders: Mapping[str, int]
    ) -> None:
        """Record that a target failed before its answer had begun.

        Parameters
        ----------
        orders
            Order of the latest crash of each part of the prompt, known at the send.
        """
        now = self.clock.monotonic()
        self.part_suspects.record_crash(orders, state.entry.name, state.entry.life, now)

    @callback
    def record_broken_call(self, job: Job, state: TargetState) -> None:
        """Record that a target failed while it ran the job."""
        now = self.clock.monotonic()
        in_flight_call = (
            state.in_flight.get(job.assignment.in_flight_id)
            if job.assignment is not None
            else None
        )
        self.crash_suspects.record_local(
            job.fingerprint,
            state.entry.name,
            state.entry.life,
            sent_at=in_flight_call.placed_at if in_flight_call is not None else now,
            now=now,
        )

    @callback
    def _record_life_listed(self, entry: TargetEntry) -> None:
        self.crash_suspects.record_listed(entry.name, entry.life)

    @callback
    def _record_life_ended(self, state: TargetState) -> None:
        """Record the end of a target's life; one that was announced is no crash."""
        if not state.is_leaving:
            self.crash_suspects.record_end(
                state.entry.name, state.entry.life, self.clock.monotonic()
            )

    @callback
    def remove_replaced_target(self, state: TargetState) -> None:
        """Remove a target at whose address another target answers."""
        if self.view.targets.states.get(state.entry.name) is state:
            self.view.targets.remove(state.entry.name)
            self.telemetry.target_gone(state, "another target answers at its address")

    @callback
    def handle_weights_mismatch(
        self, job: Job, state: TargetState, stated: int | None
    ) -> None:
        """Record that an engine has other weights than expected."""
        prompt = job.call.prompt
        if prompt is None:
            return
        wanted = self.view.wanted_weights.get(prompt.model)
        version = wanted.version if wanted is not None else None
        now = self.clock.monotonic()
        state.handle_version_mismatch(prompt.model, stated, version, now)


def _blocked_request_error(fingerprint: str) -> CrashSuspectError:
    return CrashSuspectError(
        f"several targets failed while running the request, fingerprint {fingerprint}"
    )


def _blocked_part_error(part: str) -> CrashSuspectError:
    return CrashSuspectError(f"targets crash on part {part} of the prompt")
