"""What the relay asks of the other parts of an entry."""

from __future__ import annotations

from typing import Protocol, TypeVar

from gypsumsail.entry.models import Job
from gypsumsail.once.models import Outcome, Reservation
from gypsumsail.relay.models import Constraints, Progress, Selection
from gypsumsail.suspects.models import TargetInstance, Verdict

_SelectionT = TypeVar("_SelectionT", bound=Selection)


class Work(Protocol[_SelectionT]):
    """A job together with the way it is attempted."""

    @property
    def job(self) -> Job:
        """Return the job."""

    @property
    def progress(self) -> Progress:
        """Return how far the job has come."""

    async def async_select(self, constraints: Constraints) -> _SelectionT:
        """Choose a target; raises RequestError when there is none."""

    async def async_attempt(self, selection: _SelectionT, attempt_id: str) -> None:
        """Run the job on a target up to its whole answer.

        Raises
        ------
        AttemptFailedError
            The answer is not whole.
        """

    def abandon(self, selection: _SelectionT, attempt_id: str) -> None:
        """Stop the target's work on an attempt whose caller is gone."""


class Suspects(Protocol):
    """Verdicts on requests that crash targets."""

    async def async_begin(self, fingerprint: str, attempt_id: str) -> Verdict:
        """Return whether an attempt may start."""

    async def async_place(
        self, fingerprint: str, attempt_id: str, instance: TargetInstance
    ) -> None:
        """Tell where the attempt runs."""

    async def async_end(
        self, fingerprint: str, attempt_id: str, *, whole: bool
    ) -> None:
        """Tell that the attempt ended without a crash."""

    async def async_crash(
        self,
        fingerprint: str,
        attempt_id: str,
        instance: TargetInstance,
        *,
        isolated: bool,
    ) -> Verdict:
        """Report a crash under the attempt."""

    async def async_take_slot(self, target: str, attempt_id: str) -> bool:
        """Take the target's one place for a suspect."""

    async def async_free_slot(self, target: str, attempt_id: str) -> None:
        """Give the place back."""


class AtMostOnce(Protocol):
    """Records of requests that may not be repeated."""

    def sent(self, reservation: Reservation) -> None:
        """Note that the request is about to be sent."""

    def ended(self, reservation: Reservation, outcome: Outcome, now: float) -> None:
        """Note how the sent request ended."""

    def abandoned(self, reservation: Reservation, now: float) -> None:
        """Note that the request was never sent."""


class RetryBudgets(Protocol):
    """Room for retries of each service in relation to what succeeds."""

    def try_spend(self, service: str, now: float) -> bool:
        """Take one retry when there is room."""


class Prober(Protocol):
    """Tells a lost connection from a crashed target."""

    async def async_has_crashed(self, selection: Selection) -> bool:
        """Return whether this incarnation of the target is certainly gone."""
