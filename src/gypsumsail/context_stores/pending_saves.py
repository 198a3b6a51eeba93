"""Tracks the saves of this VM that engines may still write to a store.

An engine saves a part once it has read it, which may be long after the call was sent,
and nothing can take the save back. If the store has restarted meanwhile, the part is
written into its new run.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gypsumsail.context_stores.const import (
    LATE_ANSWER_SECONDS,
    SAVE_BEGIN_SECONDS,
    SAVE_END_SECONDS,
)
from gypsumsail.context_stores.store_view import PartKey, StoreView
from gypsumsail.gateway.job import Assignment, Job


@dataclass(slots=True, kw_only=True)
class PendingSave:
    """Save of a part that was sent with a call.

    Attributes
    ----------
    begun_at
        Time of the first token; ``None`` before it.
    """

    key: PartKey
    job: Job
    assignment: Assignment
    begun_at: float | None = None

    def is_settled(self, view: StoreView, now: float) -> bool:
        """Return whether nothing of the save can be written from now on."""
        if now >= self.job.deadline + SAVE_END_SECONDS:
            return True
        if self.begun_at is None:
            in_flight = self.assignment.state.in_flight
            is_in_flight = self.assignment.in_flight_id in in_flight
            return not is_in_flight and not self.job.may_have_run
        if now >= self.begun_at + SAVE_BEGIN_SECONDS:
            return True
        return self.key in view.parts and self._has_begun_in_run(view, self.begun_at)

    def _has_begun_in_run(self, view: StoreView, begun_at: float) -> bool:
        """Return whether the store has still run, after the save, as the view says."""
        found = view.unconfirmed.get(self.key)
        if found is not None and found.known_at >= begun_at:
            return True
        return view.answered_at >= begun_at + LATE_ANSWER_SECONDS


@dataclass(slots=True)
class PendingSaves:
    """Saves to one store."""

    saves: list[PendingSave] = field(default_factory=list)

    def add(self, key: PartKey, job: Job, assignment: Assignment) -> None:
        """Record a save that is about to be sent."""
        self.saves.append(PendingSave(key=key, job=job, assignment=assignment))

    def record_first_token(self, assignment: Assignment, now: float) -> None:
        """Record that an engine has read the prompt of a call."""
        for save in self.saves:
            if save.assignment is assignment and save.begun_at is None:
                save.begun_at = now

    def unsettled(self, view: StoreView, now: float) -> set[PartKey]:
        """Return the parts that may still be written."""
        self.saves = [save for save in self.saves if not save.is_settled(view, now)]
        return {save.key for save in self.saves}
