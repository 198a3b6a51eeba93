"""State of a call while the gateway serves it."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.evacuations.homes import Homes, common_homes
from gypsumsail.gateway.models import Address, Call, Customer, Route
from gypsumsail.gateway.outcomes import CallFacts
from gypsumsail.gateway.port import CallerReply, ConnectionUse
from gypsumsail.gateway.queue_policy import QueuedCall
from gypsumsail.gateway.targets import TargetState


@dataclass(slots=True)
class Assignment:
    """Assignment of a job to a target.

    Attributes
    ----------
    in_flight_id
        Id of the job among the calls in flight at the target.
    answer_delay
        Seconds until the first token, or the end of a plain call, is expected.
    cache_scope
        Scope under which the engine looks up cached prompt parts.
    weight_version
        Version of the weights that the engine must have; ``None`` for any.
    fetched_from
        Other engines and stores from which the engine fetches parts of the prompt.
    prefill_tokens, fetch_tokens
        Prompt tokens that the engine is expected to prefill, and to fetch.
    """

    state: TargetState
    in_flight_id: int
    answer_delay: float
    cache_scope: str = ""
    weight_version: int | None = None
    fetched_from: frozenset[Address] = frozenset()
    prefill_tokens: int = 0
    fetch_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Job:
    """A call with the route and customer that the routing document gives it.

    Attributes
    ----------
    due_at
        Time by which the first token, or a plain call's answer, is on time.
    deadline
        Time by which the caller gets a final answer, be it a failure.
    tried
        Targets, by name and life, at which a send was attempted, including failed
        connection attempts; they are not tried again.
    targets_used
        Number of targets to which the call was sent, including those that rejected it;
        a wrong target does not count.
    may_have_run
        Whether any target may have run the call.
    weight_version
        Weight version that generated the earlier part of the answer.
    resume_after
        Id of the last event that the caller has received of a stream.
    is_event_cut
        Whether the last target from which any of the stream came broke off within an
        event.
    placed_at, first_at
        Time of the first placement, and of the first event or plain answer.
    work_seconds
        Seconds that one target is expected to work before the first token.
    shared_parts
        Names of the parts of the prompt that other prompts may share.
    build
        Build that began the stream; ``None`` for any.
    is_forwarded
        Whether another VM has forwarded the call; it is not forwarded again.
    helpers_tried
        Hosts of the VMs to which this one has tried to forward the call.
    is_held
        Whether the call has waited while a target was cold.
    isolated
        Names of the customers that any document has isolated since the call was
        accepted.
    connection
        Connection over which the call was sent last; ``None`` if it was not sent to a
        target.
    """

    number: int
    call: Call
    route: Route
    customer: Customer
    service: str
    priority: int
    due_at: float
    deadline: float
    fingerprint: str
    assignment: Assignment | None = None
    tried: set[tuple[str, int]] = field(default_factory=set)
    targets_used: int = 0
    may_have_run: bool = False
    weight_version: int | None = None
    resume_after: str = ""
    is_event_cut: bool = False
    placed_at: float = 0.0
    first_at: float = 0.0
    work_seconds: float = 0.0
    shared_parts: tuple[str, ...] = ()
    build: str | None = None
    is_forwarded: bool = False
    helpers_tried: set[str] = field(default_factory=set)
    is_held: bool = False
    connection: ConnectionUse | None = None
    isolated: frozenset[str] = frozenset()

    @property
    def homes(self) -> Homes:
        """Return the regions to which the call is confined."""
        return common_homes(self.route.home_regions, self.customer.home_regions)

    def answer_needed_by(self) -> float:
        """Return the time by which the caller needs the first event or the answer.

        The caller of a stream leaves before its deadline if it hears nothing.
        """
        if not self.route.patience or self.first_at:
            return self.deadline
        return min(self.deadline, self.call.received_at + self.route.patience)

    def queued_call(
        self, work_seconds: float, memory_seconds: float = 0.0
    ) -> QueuedCall:
        """Store the expected work in the job and return its queue entry."""
        self.work_seconds = work_seconds
        return QueuedCall(
            number=self.number,
            priority=self.priority,
            arrived_at=self.call.received_at,
            due_at=self.due_at,
            deadline=self.answer_needed_by(),
            work_seconds=work_seconds,
            memory_seconds=memory_seconds,
            may_have_run=self.may_have_run,
        )

    def release(self) -> None:
        """Remove the job from its target's calls in flight."""
        if self.assignment is not None:
            self.assignment.state.end(self.assignment.in_flight_id)
            self.assignment = None


def call_facts(
    job: Job, reply: CallerReply, now: float, work_seconds: float
) -> CallFacts:
    """Return the facts that decide whether a job is retried."""
    return CallFacts(
        may_repeat=job.route.may_repeat,
        targets_used=job.targets_used,
        max_targets=job.route.max_targets,
        has_reply_begun=reply.has_begun,
        time_left=job.deadline - now,
        usual_seconds=work_seconds,
    )
