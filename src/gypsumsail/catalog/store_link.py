"""Whether the platform's store answers this VM, and since when."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from gypsumsail.catalog.const import TROUBLE_MEMORY_SECONDS


class StoreTrouble(IntEnum):
    """How the store has been for a VM."""

    NONE = 0
    LATELY = 1
    NOW = 2


@dataclass(slots=True)
class StoreLink:
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
    back_at: float | None = None

    def answered(self, now: float) -> bool:
        """Note an answer; return whether the store is back after failures."""
        is_back = self.is_failing
        self.is_failing = False
        self.answered_at = now
        if is_back:
            self.back_at = now
        return is_back

    def failed(self) -> bool:
        """Note a failed call; return whether it is the first since an answer."""
        is_first = not self.is_failing
        self.is_failing = True
        return is_first

    def heard_of(self, trouble: StoreTrouble, now: float) -> None:
        """Take how a peer has met the store that it copies from."""
        match trouble:
            case StoreTrouble.NOW:
                self.failed()
            case StoreTrouble.LATELY if not self.had_trouble(now):
                self.failed()
                self.answered(now)
            case _:
                self.answered(now)

    def trouble(self, now: float) -> StoreTrouble:
        """Return how the store has been for this VM."""
        if self.is_failing:
            return StoreTrouble.NOW
        return StoreTrouble.LATELY if self.had_trouble(now) else StoreTrouble.NONE

    def had_trouble(self, now: float) -> bool:
        """Return whether removals may come from an outage rather than a leaving."""
        if self.is_failing:
            return True
        return self.back_at is not None and now - self.back_at < TROUBLE_MEMORY_SECONDS
