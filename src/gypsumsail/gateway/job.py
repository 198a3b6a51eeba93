"""A call while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.gateway.models import Address, Call, Customer, Route
from gypsumsail.gateway.queue_policy import QueuedCall
from gypsumsail.gateway.targets import TargetState


@dataclass(slots=True)
class Assignment:
    """Where a job is placed, and its number among the target's calls.

    Attributes
    ----------
    fetched_from
        Engines and stores from which parts of its prompt are fetched.
    prefill_tokens, fetch_tokens
        Prompt tokens that the engine is expected to read, and to fetch.
    """

    state: TargetState
    in_flight_id: int
    start_delay: float
    cache_scope: str = ""
    weight_version: int | None = None
    fetched_from: frozenset[Address] = frozenset()
    prefill_tokens: int = 0
    fetch_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Job:
    """A call with what the document in force gives it.

    Attributes
    ----------
    deadline
        Time at which it gets its final answer whatever it is.
    tried
        Targets that it was sent to, by name and life.
    targets_used
        How many of them took it, or may have.
    may_have_run
        Whether any send may have been run.
    work_seconds
        Time that one target is expected to spend before its first token.
    weight_version
        Version that an earlier part of the answer was made on.
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
    placed_at: float = 0.0
    first_at: float = 0.0
    work_seconds: float = 0.0

    def queued_call(
        self, work_seconds: float, occupied_seconds: float = 0.0
    ) -> QueuedCall:
        """Return the job as the waiting line sees it."""
        self.work_seconds = work_seconds
        return QueuedCall(
            number=self.number,
            priority=self.priority,
            arrived_at=self.call.received_at,
            due_at=self.due_at,
            deadline=self.deadline,
            work_seconds=work_seconds,
            occupied_seconds=occupied_seconds,
            was_sent=self.may_have_run,
        )

    def release(self) -> None:
        """End the job at its target."""
        if self.assignment is not None:
            self.assignment.state.end(self.assignment.in_flight_id)
            self.assignment = None
