"""Whether the platform's store answers this VM, and since when."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from gypsumsail.catalog.const import RECENT_OUTAGE_SECONDS


class StoreOutage(IntEnum):
    """How the store has been for a VM."""

    NONE = 0
    LATELY = 1
    NOW = 2


@dataclass(slots=True)
class StoreHealth:
    """The store as this VM has met it.

    Attributes
    ----------
    answered_at
        Time of its last answer.
    is_failing
        Whether the last call failed.
    back_at
        Time of the first answer after failures; ``None`` when none failed.
    """

    answered_at: float
    is_failing: bool = False
    recovered_at: float | None = None

    def answered(self, now: float) -> bool:
        """Note an answer; return whether the store is back after failures."""
        has_recovered = self.is_failing
        self.is_failing = False
        self.answered_at = now
        if has_recovered:
            self.recovered_at = now
        return has_recovered

    def failed(self) -> bool:
        """Note a failed call; return whether it is the first since an answer."""
        is_first = not self.is_failing
        self.is_failing = True
        return is_first

    def update_from_peer(self, outage: StoreOutage, now: float) -> None:
        """Take how a peer has met the store that it copies from."""
        match outage:
            case StoreOutage.NOW:
                self.failed()
            case StoreOutage.LATELY if not self.had_recent_outage(now):
                self.failed()
                self.answered(now)
            case _:
                self.answered(now)

    def outage(self, now: float) -> StoreOutage:
        """Return how the store has been for this VM."""
        if self.is_failing:
            return StoreOutage.NOW
        return StoreOutage.LATELY if self.had_recent_outage(now) else StoreOutage.NONE

    def had_recent_outage(self, now: float) -> bool:
        """Return whether removals may come from an outage rather than a leaving."""
        if self.is_failing:
            return True
        return (
            self.recovered_at is not None
            and now - self.recovered_at < RECENT_OUTAGE_SECONDS
        )
