"""A single send of a job to a target, with the forwarding of the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.const import (
    ENGINE_PRIORITY,
    MAX_ANSWER_BYTES,
    MIN_SERVICE_SECONDS,
    REACHABILITY_POLL_SECONDS,
    STALL_SECONDS,
    TIMEOUT_MARGIN_SECONDS,
)
from gypsumsail.gateway.events import EventSplitter, InvalidEventError
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import CallKind
from gypsumsail.gateway.outcomes import (
    NOT_RUN_STATUSES,
    Broken,
    Delivered,
    NotSent,
    NotTaken,
    SendOutcome,
    TargetError,
    TimedOut,
)
from gypsumsail.gateway.port import AnswerHead, CallerReply, Exchange, SendTerms
from gypsumsail.gateway.target_lives import async_still_runs, life_proof

if TYPE_CHECKING:
    from gypsumsail.gateway.coordinator import Gateway

FIRST_ERROR_STATUS = 500
STREAM_STATUS = 200
"""The only status with which a target goes on with a stream."""
UNPROVEN_END = "the answer has no length, and the target does not run any more"


class JobSend:
    """One send of a job to the target that it is assigned to.

    Attributes
    ----------
    may_have_run_before
        Whether the job may have run on an earlier send.
    is_detached
        Whether the exchange continues in the background without its caller.
    has_begun
        Whether an event or the whole answer has come.
    targets_used_before
        Number of targets to which the job was sent before.
    is_lost
        Whether the caller gets the answer of another send, so that this one ends.
    on_answer
        Called when a plain answer that the caller may get has begun.
    crash_orders
        Order of the latest crash of each shared part of the prompt, known at the send.
    """

    def __init__(
        self, gateway: Gateway, job: Job, assignment: Assignment, reply: CallerReply
    ) -> None:
        self.gateway = gateway
        self.clock = gateway.clock
        self.job = job
        self.assignment = assignment
        self.state = assignment.state
        self.reply = reply
        self.sent_at = self.clock.monotonic()
        self.may_have_run_before = job.may_have_run
        self.is_detached = False
        self.has_begun = False
        self.targets_used_before = job.targets_used
        self.is_lost = False
        self.on_answer: Callable[[], object] = lambda: None
        self.crash_orders = gateway.part_suspects.orders(job.shared_parts, self.sent_at)

    async def async_run(self) -> SendOutcome:
        """Send the job and forward the answer to the caller."""
        self.job.tried.add((self.state.entry.name, self.state.entry.life))
        left = self.job.deadline - self.clock.monotonic() + TIMEOUT_MARGIN_SECONDS
        try:
            async with asyncio.timeout(max(left, 0.0)):
                return await self._async_exchange()
        except TimeoutError:
            if not self.job.may_have_run:
                return NotSent(
                    reason="the deadline passed before the target was connected"
                )
            return TimedOut()

    async def _async_exchange(self) -> SendOutcome:
        now = self.clock.monotonic()
        terms = self._terms(now)
        self.job.connection = None
        try:
            exchange = await self.gateway.calls.async_send(
                self.state.entry, self.job.call, terms, now
            )
        except TransportError as err:
            now = self.clock.monotonic()
            self.state.mark_unreachable(now)
            self.gateway.liveness.check_links(now)
            return NotSent(reason=str(err))
        self.job.connection = exchange.use
        self.job.may_have_run = True
        self.job.targets_used += 1
        try:
            return await self._async_answer(exchange)
        except TransportError as err:
            self.state.record_break(self.clock.monotonic())
            self.gateway.record_broken_call(self.job, self.state)
            self._record_crash()
            return Broken(reason=str(err))
        except asyncio.CancelledError:
            if self.job.route.kind is CallKind.ONCE:
                self.is_detached = True
                self.gateway.detached.finish(exchange, self)
            elif self.is_lost:
                exchange.abort()
            raise
        finally:
            if not self.is_detached:
                exchange.finish()

    def _terms(self, now: float) -> SendTerms:
        return SendTerms(
            time_left=self.job.deadline - now,
            customer=self.job.customer.name,
            priority=ENGINE_PRIORITY,
            cache_scope=self.assignment.cache_scope,
            weight_version=self.assignment.weight_version,
            resume_after=self.job.resume_after,
            transfer=self.gateway.plan_transfer(self.job, self.assignment, now),
            life_proof=life_proof(self.job, self.state.entry),
        )

    async def _async_answer(self, exchange: Exchange) -> SendOutcome:
        head = await self._async_head(exchange)
        if head is None:
            exchange.abort()
            self.state.record_silence(self.clock.monotonic())
            return Broken(reason="abandoned: the target is silent or unreachable")
        self.gateway.record_head(self.state, head, self.sent_at, self.job)
        if head.says_not_run or head.is_wrong_target:
            return await self._async_not_taken(exchange, head)
        prompt = self.job.call.prompt
        if prompt is not None and head.weight_version is not None:
            now = self.clock.monotonic()
            self.state.learn_version(prompt.model, head.weight_version, now)
        if head.status in NOT_RUN_STATUSES:
            # Callers conclude from these statuses that the call was not run. Only the
            # target can state that, so they are not forwarded without its statement.
            return Broken(reason=f"status {head.status} without a not-run statement")
        if head.status < 300 and not head.is_signed:
            return Broken(reason="the answer lacks the signature of the target")
        if self._must_go_on(head) and head.status != STREAM_STATUS:
            self.state.record_failure(self.clock.monotonic())
            return Broken(reason=f"status {head.status} in place of more events")
        is_stream = self.job.route.kind is CallKind.STREAM and head.status < 300
        if is_stream:
            return await self._async_stream(exchange, head)
        return await self._async_whole_answer(exchange, head)

    def _must_go_on(self, head: AnswerHead) -> bool:
        """Return whether only more events of the caller's stream can be forwarded.

        A caller that takes up a stream may also be given an error.
        """
        is_success = head.status < 300
        return self.reply.has_begun or (is_success and bool(self.job.resume_after))

    async def _async_head(self, exchange: Exchange) -> AnswerHead | None:
        """Return the head; ``None`` if another target should be tried instead."""
        check_at = self.sent_at + self._check_interval()
        while self._may_abandon():
            try:
                async with asyncio.timeout(REACHABILITY_POLL_SECONDS):
                    return await exchange.async_head()
            except TimeoutError:
                now = self.clock.monotonic()
            if await self._async_is_unreachable(
                now
            ) and await self._async_should_abandon(exchange):
                return None
            if now < check_at or not self._is_silent(now):
                continue
            check_at = now + self._check_interval()
            # After half of the time to the deadline, the answer counts as lost, even if
            # the target still accepts connections.
            is_lost = now >= (self.sent_at + self.job.deadline) / 2
            if not is_lost and await self.gateway.liveness.async_is_connectable(
                self.state
            ):
                continue
            if await self._async_should_abandon(exchange):
                return None
        return await exchange.async_head()

    async def _async_is_unreachable(self, now: float) -> bool:
        """Return whether the target can't be connected to, by this VM's own attempt."""
        if self.state.has_failed_attempt(now):
            return True
        if not self.state.is_reported_unreachable(now):
            return False
        return not await self.gateway.liveness.async_is_connectable(self.state)

    async def _async_should_abandon(self, exchange: Exchange) -> bool:
        """Return whether to abandon the target; not if the head has arrived."""
        if not self.gateway.may_retry(self.job):
            return False
        try:
            async with asyncio.timeout(0):
                await exchange.async_head()
        except TimeoutError:
            return True
        return False

    def _may_abandon(self) -> bool:
        """Return whether the call may still be sent to another target."""
        job = self.job
        if not job.route.may_repeat or job.targets_used >= job.route.max_targets:
            return False
        return self.clock.monotonic() + MIN_SERVICE_SECONDS < job.deadline

    def _is_silent(self, now: float) -> bool:
        """Return whether the target makes no progress on other calls either."""
        return self.state.progress_at < max(self.sent_at, now - STALL_SECONDS)

    def _check_interval(self) -> float:
        """Return the seconds of silence after which the target is checked."""
        return self.assignment.answer_delay * 3 + STALL_SECONDS / 2

    async def _async_not_taken(
        self, exchange: Exchange, head: AnswerHead
    ) -> SendOutcome:
        await exchange.async_read_all(MAX_ANSWER_BYTES)
        # Unless another target's name is given, the mismatch is in the weight version.
        is_wrong = head.is_from_another(self.state.entry.name)
        self.job.may_have_run = self.may_have_run_before
        if is_wrong:
            self.job.targets_used -= 1
            self.gateway.remove_replaced_target(self.state)
        elif head.is_wrong_target:
            self.gateway.handle_weights_mismatch(
                self.job, self.state, head.weight_version
            )
        else:
            self.state.record_rejection(self.clock.monotonic())
        return NotTaken(status=head.status, is_wrong_target=is_wrong)

    async def _async_whole_answer(
        self, exchange: Exchange, head: AnswerHead
    ) -> SendOutcome:
        if head.status < FIRST_ERROR_STATUS:
            self.on_answer()
        body = await exchange.async_read_all(MAX_ANSWER_BYTES)
        await self._async_check_end(head)
        now = self.clock.monotonic()
        if head.status >= FIRST_ERROR_STATUS:
            self.state.record_failure(now)
            return TargetError(status=head.status, headers=head.headers, body=body)
        self._record_answer(now)
        self._record_begin(now)
        self.job.first_at = now
        self.reply.send(head.status, head.headers, body)
        return Delivered(status=head.status)

    async def _async_stream(self, exchange: Exchange, head: AnswerHead) -> SendOutcome:
        splitter = EventSplitter(last_id=self.job.resume_after)
        try:
            has_events = await self._async_forward_events(exchange, head, splitter)
        except InvalidEventError as err:
            self.state.record_failure(self.clock.monotonic())
            return Broken(reason=str(err))
        finally:
            if splitter.has_bytes:
                self.job.is_event_cut = splitter.has_partial
        # The caller may have the last event of the stream already.
        may_be_empty = (
            bool(self.job.resume_after) and head.is_framed and not self.job.is_event_cut
        )
        if splitter.has_partial or not (has_events or may_be_empty):
            if not head.is_framed:
                # Its end is that of the connection.
                self.state.cold.lose_contact(self.clock.monotonic())
                self._record_crash()
            return Broken(reason="the stream ended before an event was complete")
        await self._async_check_end(head)
        if not self.reply.has_begun:
            self.reply.begin(head.status, head.headers)
        now = self.clock.monotonic()
        self._record_answer(now)
        generation_time = self.gateway.view.targets.generation_time(self.job.route.name)
        generation_time.observe(now - self.sent_at)
        self.reply.end()
        return Delivered(status=head.status)

    async def _async_check_end(self, head: AnswerHead) -> None:
        """Check that an answer that has ended is complete; raises TransportError.

        Without a length it ends with its connection, which a target that ends closes as
        well: it must still run then.
        """
        if head.is_framed:
            return
        if not await async_still_runs(self.gateway, self.job, self.state.entry):
            raise TransportError(UNPROVEN_END, sent=True)

    async def _async_forward_events(
        self, exchange: Exchange, head: AnswerHead, splitter: EventSplitter
    ) -> bool:
        """Forward events until the answer ends; return whether there were any."""
        has_events = False
        while data := await exchange.async_read():
            events = splitter.feed(data)
            if not events:
                continue
            has_events = True
            self._record_progress(head, exchange.life)
            if not self.reply.has_begun:
                self.reply.begin(head.status, head.headers)
            self.reply.write(events)
            if splitter.last_id:
                self.job.resume_after = splitter.last_id
            # They aren't kept while a slow caller reads.
            del data, events
            await self.reply.async_drain()
        return has_events

    def _record_answer(self, now: float) -> None:
        seconds = now - self.sent_at
        self.state.record_success(now, seconds)
        self.gateway.view.targets.answer_time(self.job.route.name).observe(seconds)

    def _record_crash(self) -> None:
        if not self.has_begun:
            self.gateway.record_unanswered_crash(self.state, self.crash_orders)

    def _record_begin(self, now: float) -> None:
        if not self.has_begun:
            self.has_begun = True
            self.gateway.part_suspects.record_answer(self.job.shared_parts, now)

    def _record_progress(self, head: AnswerHead, life: int | None) -> None:
        now = self.clock.monotonic()
        self._record_begin(now)
        self.gateway.resumption.stream_began(self.job, self.state, life, now)
        if not self.job.first_at:
            self.job.first_at = now
        in_flight_call = self.state.in_flight.get(self.assignment.in_flight_id)
        if in_flight_call is not None and not in_flight_call.has_first_token:
            self.gateway.first_token(self.job, self.assignment, in_flight_call, now)
            self.job.weight_version = head.weight_version
        self.state.record_progress(self.assignment.in_flight_id, now, STALL_SECONDS)
