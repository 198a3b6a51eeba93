"""Serves callers' calls: route, customer, waiting line, sends, final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random
from typing import Final

import xxhash

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import (
    CrashSuspectError,
    InvalidRequestError,
    NoTargetError,
    RequestError,
    TransportError,
    UnauthorizedError,
    UnknownServiceError,
)
from gypsumsail.gateway.comeback import retry_after
from gypsumsail.gateway.const import MOST_ANSWER_BYTES, REPORTED_LOAD_SECONDS
from gypsumsail.gateway.job import Job, Place
from gypsumsail.gateway.liveness import LivenessChecks
from gypsumsail.gateway.models import (
    Call,
    Customer,
    HeaderPairs,
    Route,
    RoutingDocument,
)
from gypsumsail.gateway.outcomes import (
    BreakOff,
    Broken,
    Delivered,
    Fail,
    FinalAnswer,
    Finished,
    PassOn,
    Refuse,
    SendOutcome,
    final_answer,
    is_repeat,
    wants_another_target,
)
from gypsumsail.gateway.placer import FleetView, JobPlacer
from gypsumsail.gateway.port import (
    NO_MOVE,
    CallerReply,
    ContextMove,
    Exchange,
    TargetCalls,
)
from gypsumsail.gateway.repeat_budget import RepeatBudget, RepeatLimit
from gypsumsail.gateway.routes import (
    find_customer,
    find_route,
    pick_service,
    urgency_of,
)
from gypsumsail.gateway.runner import JobSend, facts_of
from gypsumsail.gateway.service_line import ServiceLine
from gypsumsail.gateway.strikes import StrikeBook
from gypsumsail.gateway.targets import Flight, TargetState
from gypsumsail.gateway.telemetry import GatewayTelemetry

UNHURRIED_SECONDS: Final = 60.0
"""End of a call whose caller named no deadline, where the route has no timeout."""
MOST_FINGERPRINT_BYTES: Final = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Limits that the deployment sets."""

    repeat_limit: RepeatLimit


class Gateway:
    """All calls of this VM.

    Attributes
    ----------
    document
        The routing document in force; ``None`` until one is known.
    plan_context
        Says which parts of a prompt an engine fetches and saves.
    on_first_token
        Called when an engine has read the prompt of a job.
    """

    def __init__(
        self,
        view: FleetView,
        calls: TargetCalls,
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
        self.lines: dict[str, ServiceLine] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.strikes = StrikeBook()
        self.liveness = LivenessChecks(calls, view.targets, clock)
        self.liveness.on_checked = telemetry.target_checked
        self.random = random.Random()
        self.next_number = 0
        self.left_running: set[asyncio.Task[None]] = set()
        self.plan_context: Callable[[Job, Place, float], ContextMove] | None = None
        self.on_first_token: Callable[[Job, Place, float], None] | None = None

    @callback
    def set_document(self, document: RoutingDocument) -> None:
        """Put a document in force; lines of services that are gone stay."""
        self.document = document
        for name, service in document.services.items():
            line = self.lines.get(name)
            if line is None:
                placer = JobPlacer(self.view, service, self.jobs)
                self.lines[name] = ServiceLine(placer, self.clock)
            else:
                assert isinstance(line.placer, JobPlacer)
                line.placer.service = service

    @callback
    def tick(self, now: float) -> None:
        """Do what is due."""
        self.liveness.tick(now)

    @callback
    def pump(self) -> None:
        """Look at all lines, as beliefs on targets have changed."""
        for line in self.lines.values():
            line.pump()

    async def async_handle(self, call: Call, reply: CallerReply) -> None:
        """Serve one call to its final answer."""
        try:
            job = self._accept(call)
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
            job.leave_place()
            del self.jobs[job.number]
            self.lines[job.service].pump()

    def _accept(self, call: Call) -> Job:
        document = self.document
        if document is None:
            raise NoTargetError("no routing document is known yet", retry_after=1.0)
        if not call.request_id:
            raise InvalidRequestError("the request has no id")
        route = find_route(document, call.host, call.path)
        customer = find_customer(document, route, call.api_key)
        service = pick_service(route, self.random.random())
        if service not in self.lines or service not in document.services:
            raise NoTargetError("the service of the route is unknown", retry_after=1.0)
        fingerprint = _fingerprint(call, customer)
        if self.strikes.is_convicted(fingerprint):
            raise CrashSuspectError("the request broke each target that ran it")
        budget = self.budgets.setdefault(service, RepeatBudget())
        budget.count_call(self.settings.repeat_limit, call.received_at)
        return self._job(call, route, customer, service, fingerprint)

    def _job(
        self, call: Call, route: Route, customer: Customer, service: str, mark: str
    ) -> Job:
        self.next_number += 1
        ends_at = call.received_at + (route.timeout or UNHURRIED_SECONDS)
        if call.deadline is not None:
            ends_at = min(ends_at, call.deadline)
        return Job(
            number=self.next_number,
            call=call,
            route=route,
            customer=customer,
            service=service,
            urgency=urgency_of(route, customer),
            aim_at=call.received_at + route.aim,
            ends_at=ends_at,
            fingerprint=mark,
            resume_after=call.resume_after,
        )

    async def _async_serve(self, job: Job, reply: CallerReply) -> None:
        line = self.lines[job.service]
        assert isinstance(line.placer, JobPlacer)
        outcome: SendOutcome | None = None
        while True:
            usual = line.placer.work_seconds(job, self.clock.monotonic())
            try:
                occupied = line.placer.occupied_seconds(job)
                waiting = job.waiting(usual, occupied)
                line.placer.arrived(job, self.clock.monotonic())
                placed = await line.async_place(waiting)
            except NoTargetError:
                if outcome is None:
                    raise
                break
            assert job.place is not None
            now = self.clock.monotonic()
            job.placed_at = job.placed_at or now
            self.telemetry.placed(job, job.place, placed.start_delay, now)
            outcome = await JobSend(self, job, job.place, reply).async_run()
            self.telemetry.send_ended(job, job.place, outcome, self.clock.monotonic())
            job.leave_place()
            if not self._goes_on(job, outcome, reply, usual):
                break
        self._finish(job, outcome, reply)

    def _goes_on(
        self, job: Job, outcome: SendOutcome, reply: CallerReply, usual: float
    ) -> bool:
        now = self.clock.monotonic()
        if not wants_another_target(outcome, facts_of(job, reply, now, usual)):
            return False
        if not is_repeat(outcome):
            return True
        budget = self.budgets[job.service]
        return budget.take(self.settings.repeat_limit, self.view.vms(), now)

    @callback
    def may_repeat_send(self, job: Job) -> bool:
        """Return whether the budget allows to send a job once more."""
        now = self.clock.monotonic()
        limit = self.settings.repeat_limit
        return self.budgets[job.service].allows(limit, self.view.vms(), now)

    def _finish(self, job: Job, outcome: SendOutcome, reply: CallerReply) -> None:
        answer = final_answer(
            outcome, has_run=job.has_run, has_reply_begun=reply.has_begun
        )
        now = self.clock.monotonic()
        self._give(job, answer, reply, now)
        self.telemetry.finished(job, answer, outcome, now)

    def _give(
        self, job: Job, answer: FinalAnswer, reply: CallerReply, now: float
    ) -> None:
        match answer:
            case Finished():
                return
            case PassOn(error=error):
                reply.send(error.status, error.headers, error.body)
            case Refuse():
                reply.send(503, self._comeback(job.call, self._free_in(job, now)), b"")
            case Fail(status=status):
                reply.send(status, (), b"")
            case BreakOff():
                reply.abort()

    def _free_in(self, job: Job, now: float) -> float:
        return self.lines[job.service].free_in(now)

    def _refuse_call(
        self, call: Call, job: Job | None, reply: CallerReply, err: RequestError
    ) -> None:
        """Answer a call that was not run and never will be."""
        now = self.clock.monotonic()
        status = err.status
        if isinstance(err, CrashSuspectError):
            status = 503
        headers: HeaderPairs = ()
        if not isinstance(err, UnauthorizedError | UnknownServiceError):
            headers = self._comeback(call, err.retry_after or 0.0)
        reply.send(status, headers, b"")
        self.telemetry.refused(call, job, err, status, now)

    def _comeback(self, call: Call, free_in: float) -> HeaderPairs:
        now = self.clock.monotonic()
        left = None if call.deadline is None else call.deadline - now
        seconds = retry_after(free_in, left, self.random.random())
        return ((b"retry-after", f"{seconds:.2f}".encode()),)

    @callback
    def plan_move(self, job: Job, place: Place, now: float) -> ContextMove:
        """Return which parts of the prompt go between the engine and the stores."""
        if self.plan_context is None or job.call.prompt is None:
            return NO_MOVE
        return self.plan_context(job, place, now)

    @callback
    def first_token(self, job: Job, place: Place, flight: Flight, now: float) -> None:
        """Learn from the first token of a job."""
        prompt = job.call.prompt
        if prompt is None:
            return
        work = flight.ahead + flight.unread
        self.view.targets.rate(job.service).observe(work, now - flight.began_at)
        in_use = place.state.tokens(now)
        place.state.cache.add(place.cache_scope, prompt.parts, in_use)
        if self.on_first_token is not None:
            self.on_first_token(job, place, now)

    @callback
    def note_broken(self, job: Job, state: TargetState) -> None:
        """Note that a target broke off while it had the job."""
        self.strikes.add(job.fingerprint, state.entry.name, state.entry.life)

    @callback
    def target_replaced(self, state: TargetState) -> None:
        """Forget a target at whose address another one answers."""
        if self.view.targets.states.get(state.entry.name) is state:
            self.view.targets.remove(state.entry.name)
            self.telemetry.target_gone(state, "another target has its address")

    @callback
    def weights_differ(self, job: Job, state: TargetState, shown: int | None) -> None:
        """Learn that an engine has not the version that was expected."""
        prompt = job.call.prompt
        if prompt is None:
            return
        wanted = self.view.wanted.get(prompt.model)
        version = wanted.version if wanted is not None else None
        now = self.clock.monotonic()
        state.has_other_version(prompt.model, shown, version, now)

    @callback
    def finish_alone(self, exchange: Exchange, job: Job) -> None:
        """Let a call that may not be repeated end, though its caller has left."""
        task = asyncio.get_running_loop().create_task(
            self._async_finish_alone(exchange, job)
        )
        self.left_running.add(task)
        task.add_done_callback(self.left_running.discard)

    async def _async_finish_alone(self, exchange: Exchange, job: Job) -> None:
        left = job.ends_at - self.clock.monotonic() + REPORTED_LOAD_SECONDS
        outcome: SendOutcome
        try:
            async with asyncio.timeout(max(left, 0.0)):
                head = await exchange.async_head()
                await exchange.async_read_all(MOST_ANSWER_BYTES)
            outcome = Delivered(status=head.status)
        except (TransportError, TimeoutError) as err:
            outcome = Broken(reason=type(err).__name__)
        finally:
            exchange.finish()
        self.telemetry.ended_alone(job, outcome, self.clock.monotonic())


def _fingerprint(call: Call, customer: Customer) -> str:
    digest = xxhash.xxh3_64()
    for part in (call.method, call.target, customer.name.encode()):
        digest.update(part + b"\0")
    digest.update(call.body[:MOST_FINGERPRINT_BYTES])
    return digest.hexdigest()
