"""Decision log and metrics of the gateway."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
from math import inf, isfinite
from typing import Any, Final

from gypsumsail.cold_targets.models import ColdStatement, InvalidCold
from gypsumsail.cold_targets.telemetry import ColdTelemetry
from gypsumsail.core.callback import callback
from gypsumsail.core.errors import RequestError
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import Call, RoutingDocument, TargetEntry
from gypsumsail.gateway.outcomes import (
    Broken,
    Delivered,
    Fail,
    FinalAnswer,
    PassOn,
    SendOutcome,
    TargetError,
)
from gypsumsail.gateway.part_suspects import TargetLife
from gypsumsail.gateway.port import SkippedAnswer
from gypsumsail.gateway.target_pause import InvalidPause, PauseStatement
from gypsumsail.gateway.target_table import Reachability
from gypsumsail.gateway.targets import TargetState
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.metrics.registry import MetricsRegistry
from gypsumsail.placing.pools import EnginePools

MAX_LOGGED_FIELDS: Final = 20
"""Number of unreadable fields of a document that are logged."""
MAX_LOGGED_TEXT: Final = 40
"""Characters of a header's value that are logged."""
MAX_LOGGED_CUSTOMERS: Final = 20
"""Customers that are logged of each kind of change."""
MAX_LOGGED_SKIPS: Final = 3
"""Skipped answers that are logged for one call; all are counted."""


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _reachability_fields(found: Reachability) -> dict[str, int]:
    return {
        "targets": found.listed,
        "targets_reached": found.reached,
        "blocked_by_reports": found.blocked_by_reports,
    }


def _context_of(call: Call) -> str | None:
    """Return the name of the last prompt part that other prompts may share."""
    if call.prompt is None or len(call.prompt.parts) < 2:
        return None
    return call.prompt.parts[-2].name


class GatewayTelemetry:
    """Logs and counts the events of calls, documents and targets.

    Attributes
    ----------
    document
        Routing document in force; its version is logged with each call.
    """

    def __init__(self, log: DecisionLog, registry: MetricsRegistry) -> None:
        self.log = log
        self.registry = registry
        self.cold = ColdTelemetry(log, registry)
        self.document: RoutingDocument | None = None
        self.calls = registry.counter(
            "gypsumsail_gateway_calls_total",
            "Calls by route and by how they ended.",
            ("route", "end"),
        )
        self.sends = registry.counter(
            "gypsumsail_gateway_sends_total",
            "Sends to targets by service and by how they ended.",
            ("service", "end"),
        )
        self.forwards = registry.counter(
            "gypsumsail_gateway_forwards_total",
            "Calls forwarded to other VMs by service and by how they ended.",
            ("service", "outcome"),
        )
        self.received = registry.counter(
            "gypsumsail_gateway_forwards_received_total",
            "Calls that other VMs forwarded to this one, by whether it took them.",
            ("answer",),
        )
        self.notices = registry.counter(
            "gypsumsail_gateway_target_notices_total",
            "Notices of targets by service: leaving, pause or changed limit.",
            ("service", "notice"),
        )
        self.skipped = registry.counter(
            "gypsumsail_gateway_skipped_answers_total",
            "Answers of targets that did not bear the id of the call, by service and "
            "by whether they bore another id or none.",
            ("service", "id"),
        )
        self.taken_up = registry.counter(
            "gypsumsail_gateway_streams_taken_up_total",
            "Streams that callers take up, by service and by who knew the build that "
            "began them.",
            ("service", "source"),
        )
        self.blocked_parts = registry.counter(
            "gypsumsail_gateway_blocked_parts_total",
            "Parts of prompts that were blocked because targets crash on them, and "
            "released again.",
            ("change",),
        )
        self.waits = registry.histogram(
            "gypsumsail_gateway_wait_seconds",
            "Time from a call's arrival to its first placement.",
            ("service",),
        )
        self.first_token_times = registry.histogram(
            "gypsumsail_gateway_first_token_seconds",
            "Time from a call's arrival to its first event or whole plain answer.",
            ("service",),
        )
        self.document_delay = registry.histogram(
            "gypsumsail_document_delay_seconds",
            "Longest time for which a new routing document can have been unknown.",
        )

    @callback
    def placed(
        self, job: Job, assignment: Assignment, answer_delay: float, now: float
    ) -> None:
        """Log a placement of a call or a retry, and the state that led to it.

        The wait is observed for each placement, from the arrival of the call.
        """
        state = assignment.state
        self.waits.labels(job.service).observe(now - job.call.received_at)
        self.log.write(
            "placed",
            request=job.call.request_id,
            route=job.route.name,
            customer=job.customer.name,
            target=state.entry.name,
            life=state.entry.life,
            waited_ms=_milliseconds(now - job.call.received_at),
            expected_ms=_milliseconds(answer_delay),
            calls=state.calls(now),
            tokens=state.tokens(now),
            unread_tokens=assignment.prefill_tokens,
            moved_tokens=assignment.fetch_tokens,
            context=_context_of(job.call),
            weights=assignment.weight_version,
            scope=assignment.cache_scope or None,
            build=state.entry.build,
            resumes=job.call.resumes or None,
            resume_after=job.resume_after or None,
            document=self._document_version(),
            left_ms=_milliseconds(job.deadline - now),
            limit=state.limit.calls_per_second,
            recent_sends=state.recent_sends(now),
        )

    @callback
    def send_ended(
        self,
        job: Job,
        assignment: Assignment,
        outcome: SendOutcome,
        crashes: int,
        now: float,
    ) -> None:
        """Count the outcome of a send, and log it unless it was delivered.

        Parameters
        ----------
        crashes
            Number of target lives that failed under the same request, as far as this
            VM knows.
        """
        name = type(outcome).__name__
        self.sends.labels(job.service, name).increment()
        if isinstance(outcome, Delivered):
            return
        self.log.write(
            "send failed",
            request=job.call.request_id,
            target=assignment.state.entry.name,
            life=assignment.state.entry.life,
            after_ms=_milliseconds(now - job.call.received_at),
            targets_used=job.targets_used,
            **_connection_fields(job),
            **_outcome_fields(outcome),
            **(_broken_fields(job, crashes) if isinstance(outcome, Broken) else {}),
        )

    @callback
    def forwarded(self, job: Job, host: str, now: float) -> None:
        """Log a call that is forwarded to another VM."""
        self.waits.labels(job.service).observe(now - job.call.received_at)
        self.log.write(
            "forwarded",
            request=job.call.request_id,
            route=job.route.name,
            service=job.service,
            host=host,
            waited_ms=_milliseconds(now - job.call.received_at),
            document=self._document_version(),
            left_ms=_milliseconds(job.deadline - now),
        )

    @callback
    def forward_ended(
        self, job: Job, host: str, outcome: SendOutcome, now: float
    ) -> None:
        """Count the outcome of a forwarded call, and log it unless it was answered."""
        name = type(outcome).__name__
        self.forwards.labels(job.service, name).increment()
        if isinstance(outcome, Delivered):
            return
        self.log.write(
            "forward failed",
            request=job.call.request_id,
            host=host,
            after_ms=_milliseconds(now - job.call.received_at),
            **_outcome_fields(outcome),
        )

    @callback
    def forward_received(self, call: Call, sender: str, refusal: str | None) -> None:
        """Log a call that another VM forwards to this one, and count it."""
        self.received.labels(refusal or "taken").increment()
        self.log.write(
            "forward received",
            request=call.request_id,
            sender=sender,
            refusal=refusal,
            document=self._document_version(),
        )

    @callback
    def forward_invalid(self, reason: str) -> None:
        """Log a malformed forwarded call."""
        self.received.labels("malformed").increment()
        self.log.write("malformed forwarded call", reason=reason)

    @callback
    def finished(
        self, job: Job, answer: FinalAnswer, outcome: SendOutcome, now: float
    ) -> None:
        """Log the final answer to a call that was sent at least once.

        Without a first event or plain answer, the time to the final answer is observed.
        """
        end = type(answer).__name__
        self.calls.labels(job.route.name, end).increment()
        first = job.first_at or now
        self.first_token_times.labels(job.service).observe(first - job.call.received_at)
        status: int | None = None
        match answer:
            case Fail(status=status):
                pass
            case PassOn(error=error):
                status = error.status
            case _:
                if isinstance(outcome, Delivered):
                    status = outcome.status
        self.log.write(
            "answered",
            request=job.call.request_id,
            end=end,
            outcome=type(outcome).__name__,
            status=status,
            first_ms=_milliseconds(first - job.call.received_at),
            total_ms=_milliseconds(now - job.call.received_at),
            late=first > job.due_at,
            targets_used=job.targets_used,
            **_connection_fields(job),
        )

    @callback
    def refused(
        self,
        call: Call,
        job: Job | None,
        err: RequestError,
        status: int,
        now: float,
        reachability: Reachability | None,
    ) -> None:
        """Log a refused call, which was not run.

        Parameters
        ----------
        reachability
            Which targets of its service this VM reaches; ``None`` without a service.
        """
        route = job.route.name if job is not None else ""
        self.calls.labels(route, err.code).increment()
        self.log.write(
            "refused",
            request=call.request_id,
            route=route,
            host=call.host,
            path=call.path[:128],
            status=status,
            code=err.code,
            reason=str(err),
            free_in_ms=_milliseconds(err.retry_after or 0.0),
            after_ms=_milliseconds(now - call.received_at),
            document=self._document_version(),
            **(_reachability_fields(reachability) if reachability is not None else {}),
        )

    @callback
    def caller_left(self, job: Job, now: float) -> None:
        """Log a caller that disconnected before its answer was complete."""
        self.calls.labels(job.route.name, "caller_left").increment()
        self.log.write(
            "caller left",
            request=job.call.request_id,
            target=job.assignment.state.entry.name
            if job.assignment is not None
            else None,
            after_ms=_milliseconds(now - job.call.received_at),
        )

    @callback
    def detached_call_ended(self, job: Job, outcome: SendOutcome, now: float) -> None:
        """Log the end of a call whose caller has disconnected."""
        self.log.write(
            "ended without its caller",
            request=job.call.request_id,
            after_ms=_milliseconds(now - job.call.received_at),
            **_connection_fields(job),
            **_outcome_fields(outcome),
        )

    @callback
    def answer_skipped(self, target: TargetEntry, skipped: SkippedAnswer) -> None:
        """Count an answer that does not bear the id of the call, and log the first."""
        has_id = "none" if skipped.request_id is None else "other"
        self.skipped.labels(target.service, has_id).increment()
        if skipped.number > MAX_LOGGED_SKIPS:
            return
        found = skipped.request_id
        self.log.write(
            "answer skipped",
            request=skipped.expected_id,
            target=target.name,
            life=target.life,
            status=skipped.status,
            found=None if found is None else found[:MAX_LOGGED_TEXT],
            connection=skipped.use.port,
            use=skipped.use.number,
            number=skipped.number,
        )

    @callback
    def document_in_force(
        self,
        document: RoutingDocument,
        source: str,
        copy_age: float = inf,
        behind_seconds: float = 0.0,
    ) -> None:
        """Log a new routing document, and how long this VM may have lacked it.

        Parameters
        ----------
        copy_age
            Seconds since the copy of the document was known to be the newest one;
            infinite for the first copy.
        behind_seconds
            Seconds since another VM told of a newer document.
        """
        self.document = document
        if isfinite(copy_age):
            self.document_delay.labels().observe(copy_age)
        self.log.write(
            "document in force",
            version=document.version,
            revision=document.revision,
            source=source,
            copy_age_ms=_milliseconds(copy_age) if isfinite(copy_age) else None,
            behind_ms=_milliseconds(behind_seconds),
            routes=len(document.routes),
            **({"invalid": found} if (found := list(document.invalid_fields)) else {}),
        )
        if document.invalid_fields:
            self.log.write(
                "document fields unreadable",
                version=document.version,
                fields=list(document.invalid_fields)[:MAX_LOGGED_FIELDS],
            )

    @callback
    def target_listed(self, entry: TargetEntry) -> None:
        """Log a target's entry in the platform's list."""
        self.log.write(
            "target listed",
            target=entry.name,
            life=entry.life,
            service=entry.service,
            address=str(entry.address),
            zone=entry.zone,
            phase=entry.phase.value,
            build=entry.build,
            weights=dict(entry.weight_versions),
        )

    @callback
    def target_checked(self, state: TargetState, reason: str) -> None:
        """Log that a target accepts connections again, or why it does not.

        Parameters
        ----------
        reason
            Why the check failed; empty if the target accepts connections again.
        """
        self.log.write(
            "target unreachable" if reason else "target reachable",
            target=state.entry.name,
            life=state.entry.life,
            reason=reason,
            blocked_ms=_milliseconds(state.block_seconds),
            said_by=len(state.unreachable_reports),
        )

    @callback
    def target_limited(
        self, state: TargetState, source: str, request_id: str | None = None
    ) -> None:
        """Log that a target names another limit than before, or none any more.

        Parameters
        ----------
        source
            Where this VM heard of it: ``answer`` or the name of another VM.
        request_id
            Request whose answer said so.
        """
        self.notices.labels(state.entry.service, "limit").increment()
        self.log.write(
            "target limit",
            target=state.entry.name,
            life=state.entry.life,
            service=state.entry.service,
            limit=state.limit.calls_per_second,
            source=source,
            request=request_id,
        )

    @callback
    def target_leaving(
        self, entry: TargetEntry, source: str, request_id: str | None = None
    ) -> None:
        """Log that a target says that it leaves; it gets no new calls."""
        self.notices.labels(entry.service, "leaving").increment()
        self.log.write(
            "target leaving",
            target=entry.name,
            life=entry.life,
            service=entry.service,
            source=source,
            request=request_id,
        )

    @callback
    def target_paused(
        self,
        state: TargetState,
        statement: PauseStatement,
        seconds: float,
        request_id: str | None = None,
    ) -> None:
        """Log that a target asks this VM for a pause."""
        self.notices.labels(state.entry.service, "pause").increment()
        self.log.write(
            "target paused",
            target=state.entry.name,
            life=state.entry.life,
            service=state.entry.service,
            pause_ms=_milliseconds(seconds),
            invalid=(
                statement.text[:MAX_LOGGED_TEXT]
                if isinstance(statement, InvalidPause)
                else None
            ),
            request=request_id,
        )

    @callback
    def target_limit_invalid(self, state: TargetState, text: str) -> None:
        """Log that a target names a limit that is not a valid number."""
        self.log.write(
            "target limit invalid",
            target=state.entry.name,
            life=state.entry.life,
            text=text[:MAX_LOGGED_TEXT],
            kept=state.limit.calls_per_second,
        )

    @callback
    def target_cold(self, entry: TargetEntry, seconds: float, source: str) -> None:
        """Log that a target turned cold."""
        self.cold.target_cold(entry.name, entry.life, entry.service, seconds, source)

    @callback
    def target_cold_invalid(self, state: TargetState, cold: ColdStatement) -> None:
        """Log that an answer states a cold time that can't be read."""
        if isinstance(cold, InvalidCold):
            self.cold.header_invalid(state.entry.name, state.entry.life, cold.text)

    @callback
    def work_factor_invalid(self, state: TargetState, text: str) -> None:
        """Log the first invalid work factor in the load reports of a target."""
        self.log.write(
            "target work factor invalid",
            target=state.entry.name,
            life=state.entry.life,
            text=text[:MAX_LOGGED_TEXT],
        )

    @callback
    def stream_taken_up(self, job: Job, build: str | None, source: str) -> None:
        """Log that a caller takes up a stream, and the build that began it.

        Parameters
        ----------
        build
            ``None`` if it is not known.
        source
            From where this VM knows it.
        """
        source = source if build is not None else "unknown"
        self.taken_up.labels(job.service, source).increment()
        self.log.write(
            "stream taken up",
            request=job.call.request_id,
            resumes=job.call.resumes,
            resume_after=job.resume_after,
            build=build,
            source=source,
        )

    @callback
    def engines_divided(self, service: str, pools: EnginePools, now: float) -> None:
        """Log that engines are divided between long and short prompts, or no more."""
        division = pools.division
        self.log.write(
            "engines divided" if division is not None else "engines not divided",
            service=service,
            long_routes=sorted(division.long_routes) if division else [],
            short_routes=sorted(division.short_routes) if division else [],
            short_share=round(division.short_share, 2) if division else None,
            short_engines=len(pools.short_engines),
        )

    @callback
    def isolated_changed(
        self, before: frozenset[str], isolated: frozenset[str]
    ) -> None:
        """Log that other customers than before share no cached context."""
        self.log.write(
            "isolated customers changed",
            document=self._document_version(),
            isolated=len(isolated),
            added=sorted(isolated - before)[:MAX_LOGGED_CUSTOMERS],
            removed=sorted(before - isolated)[:MAX_LOGGED_CUSTOMERS],
        )

    @callback
    def part_blocked(self, part: str, crashes: Iterable[TargetLife]) -> None:
        """Log that calls with a part are refused, and the crashes that led to it."""
        self.blocked_parts.labels("blocked").increment()
        self.log.write(
            "part blocked",
            part=part,
            crashes=[f"{target}/{life}" for target, life in crashes],
        )

    @callback
    def part_released(self, part: str) -> None:
        """Log that an answer on a blocked part has begun."""
        self.blocked_parts.labels("released").increment()
        self.log.write("part released", part=part)

    @callback
    def target_gone(self, state: TargetState, reason: str) -> None:
        """Log that a target was removed."""
        self.log.write(
            "target gone",
            target=state.entry.name,
            life=state.entry.life,
            service=state.entry.service,
            reason=reason,
        )

    def _document_version(self) -> int | None:
        return self.document.version if self.document is not None else None


def _connection_fields(job: Job) -> dict[str, int | None]:
    """Return over which connection a call was sent last, and as which use of it."""
    found = job.connection
    return {
        "connection": found.port if found is not None else None,
        "use": found.number if found is not None else None,
    }


def _outcome_fields(outcome: SendOutcome) -> dict[str, Any]:
    fields: dict[str, Any] = {"outcome": type(outcome).__name__}
    if isinstance(outcome, TargetError):
        fields["status"] = outcome.status
        return fields
    fields.update(asdict(outcome))
    return fields


def _broken_fields(job: Job, crashes: int) -> dict[str, Any]:
    """Return what helps to tell whether the request crashed its target."""
    return {
        "began": bool(job.first_at),
        "shared_parts": list(job.shared_parts),
        "crashes": crashes,
    }
