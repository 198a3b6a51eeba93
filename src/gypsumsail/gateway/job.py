"""A call while it is served."""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.gateway.line import Waiting
from gypsumsail.gateway.models import Address, Call, Customer, Route
from gypsumsail.gateway.targets import TargetState


@dataclass(slots=True)
class Place:
    """Where a job is placed, and its number among the target's calls.

    Attributes
    ----------
    fetched_from
        Engines and stores from which parts of its prompt are fetched.
    unread_tokens, moved_tokens
        Prompt tokens that the engine is expected to read, and to fetch.
    """

    state: TargetState
    flight: int
    start_delay: float
    cache_scope: str = ""
    weight_version: int | None = None
    fetched_from: frozenset[Address] = frozenset()
    unread_tokens: int = 0
    moved_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Job:
    """A call with what the document in force gives it.

    Attributes
    ----------
    ends_at
        Time at which it gets its final answer whatever it is.
    tried
        Targets that it was sent to, by name and life.
    targets_used
        How many of them took it, or may have.
    has_run
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
    urgency: int
    aim_at: float
    ends_at: float
    fingerprint: str
    place: Place | None = None
    tried: set[tuple[str, int]] = field(default_factory=set)
    targets_used: int = 0
    has_run: bool = False
    weight_version: int | None = None
    resume_after: str = ""
    placed_at: float = 0.0
    first_at: float = 0.0
    work_seconds: float = 0.0

    def waiting(self, work_seconds: float, occupied_seconds: float = 0.0) -> Waiting:
        """Return the job as the waiting line sees it."""
        self.work_seconds = work_seconds
        return Waiting(
            number=self.number,
            urgency=self.urgency,
            arrived_at=self.call.received_at,
            aim_at=self.aim_at,
            ends_at=self.ends_at,
            work_seconds=work_seconds,
            occupied_seconds=occupied_seconds,
            was_sent=self.has_run,
        )

    def leave_place(self) -> None:
        """End the job at its target."""
        if self.place is not None:
            self.place.state.end(self.place.flight)
            self.place = None
