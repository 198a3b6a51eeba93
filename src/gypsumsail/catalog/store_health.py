"""Tracks whether the platform's store answers this VM."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from gypsumsail.catalog.const import RECENT_OUTAGE_SECONDS


class StoreOutage(IntEnum):
    """Outage state of the store at a VM.

    ``LATELY`` means that an outage ended less than ``RECENT_OUTAGE_SECONDS`` ago.
    """

    NONE = 0
    LATELY = 1
    NOW = 2


@dataclass(slots=True)
class StoreHealth:
    """Availability of the store as this VM observes it.

    Attributes
    ----------
    answered_at
        Time of the last answer.
    is_failing
        Whether the last call failed.
    recovered_at
        Time of the first answer after the last outage; ``None`` before that.
    """

    answered_at: float
    is_failing: bool = False
    recovered_at: float | None = None

    def record_answer(self, now: float) -> bool:
        """Record an answer; return whether it ends an outage."""
        has_recovered = self.is_failing
        self.is_failing = False
        self.answered_at = now
        if has_recovered:
            self.recovered_at = now
        return has_recovered

    def record_failure(self) -> bool:
        """Record a failed call; return whether it is the first since an answer."""
        is_first = not self.is_failing
        self.is_failing = True
        return is_first

    def update_from_peer(self, outage: StoreOutage, now: float) -> None:
        """Adopt the outage state that a peer observed."""
        match outage:
            case StoreOutage.NOW:
                self.record_failure()
            case StoreOutage.LATELY if not self.has_or_had_outage(now):
                # Record an outage that ends now, so that `outage` returns `LATELY`.
                self.record_failure()
                self.record_answer(now)
            case _:
                self.record_answer(now)

    def outage(self, now: float) -> StoreOutage:
        """Return the outage state of the store at this VM."""
        if self.is_failing:
            return StoreOutage.NOW
        return StoreOutage.LATELY if self.has_or_had_outage(now) else StoreOutage.NONE

    def has_or_had_outage(self, now: float) -> bool:
        """Return whether the store is unavailable, or was until recently.

        A removal may then mean that the record of a live target expired.
        """
        if self.is_failing:
            return True
        return (
            self.recovered_at is not None
            and now - self.recovered_at < RECENT_OUTAGE_SECONDS
        )
