"""Interfaces of the entry components that the relay depends on."""

from __future__ import annotations

from typing import Protocol, TypeVar

from gypsumsail.entry.models import Job
from gypsumsail.once.models import Outcome, Reservation
from gypsumsail.relay.models import Constraints, Progress, Selection
from gypsumsail.suspects.models import TargetInstance, Verdict

_SelectionT = TypeVar("_SelectionT", bound=Selection)


class Work(Protocol[_SelectionT]):
    """A job, its progress, and the operations that send it to a target."""

    @property
    def job(self) -> Job:
        """Return the job."""

    @property
    def progress(self) -> Progress:
        """Return the progress of the job."""

    async def async_select(self, constraints: Constraints) -> _SelectionT:
        """Select a target; raises RequestError if none is available."""

    async def async_attempt(self, selection: _SelectionT, attempt_id: str) -> None:
        """Run the job on a target until its answer is complete.

        Raises
        ------
        AttemptFailedError
            The answer is not complete.
        """

    def cancel_attempt(self, selection: _SelectionT, attempt_id: str) -> None:
        """Stop an attempt that was sent but whose answer is no longer needed."""


class Suspects(Protocol):
    """Detection of poison requests, which crash the targets that run them.

    The verdict on a request is one of:

    - ``Clear``: it may run on any target.
    - ``RunOn``: the same request is already running on this target; this attempt
      must run there too.
    - ``Unplaced``: the same request has no target yet; ask again.
    - ``Isolate``: it may have crashed a target, and must run in a target's suspect
      slot, which admits one suspect request at a time.
    - ``Busy``: it is a suspect and is already running.
    - ``Convicted``: it crashed the targets that ran it, and is refused.
    """

    async def async_begin(self, fingerprint: str, attempt_id: str) -> Verdict:
        """Return the verdict on an attempt, and register the attempt if it may start.

        A registered attempt must be ended by `async_end` or `async_crash`.
        """

    async def async_place(
        self, fingerprint: str, attempt_id: str, instance: TargetInstance
    ) -> None:
        """Report the target to which the attempt is about to be sent."""

    async def async_end(
        self, fingerprint: str, attempt_id: str, *, whole: bool
    ) -> None:
        """Report that the attempt ended without a crash of its target.

        ``whole`` tells whether the target's answer was complete.
        """

    async def async_crash(
        self,
        fingerprint: str,
        attempt_id: str,
        instance: TargetInstance,
        *,
        isolated: bool,
    ) -> Verdict:
        """Report that the target crashed during the attempt."""

    async def async_take_slot(self, target: str, attempt_id: str) -> bool:
        """Take the target's only suspect slot; return whether it was free."""

    async def async_free_slot(self, target: str, attempt_id: str) -> None:
        """Release the target's suspect slot."""


class AtMostOnce(Protocol):
    """Records of requests that may not be repeated."""

    def sent(self, reservation: Reservation) -> None:
        """Record that the request is about to be sent."""

    def ended(self, reservation: Reservation, outcome: Outcome, now: float) -> None:
        """Record the outcome of the request that was sent."""

    def abandoned(self, reservation: Reservation, now: float) -> None:
        """Record that the request was never sent."""


class RetryBudgets(Protocol):
    """Retry budgets of services, proportional to their successful requests."""

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry and return whether the budget allowed it."""


class Prober(Protocol):
    """Distinguishes a lost connection from a crashed target."""

    async def async_has_crashed(self, selection: Selection) -> bool:
        """Return whether this incarnation of the target has certainly ended."""
