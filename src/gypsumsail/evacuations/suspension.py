"""Holds calls back for a short time after the process was suspended.

A VM that did not run while a zone was evacuated would send the calls that waited in its
queue to the zone before it reads the change.
"""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.evacuations.const import SUSPENSION_HOLD_SECONDS, SUSPENSION_SECONDS


@dataclass(slots=True)
class SuspensionHold:
    """Recognizes a suspension by the time between two checks.

    Attributes
    ----------
    checked_at
        Time of the last check; ``None`` before the first one.
    resumed_at
        Time of the first check after the latest suspension.
    """

    checked_at: float | None = None
    resumed_at: float = float("-inf")

    def is_held(self, read_at: float, now: float) -> bool:
        """Return whether calls have to wait.

        Parameters
        ----------
        read_at
            Time as of which this VM itself has last read the evacuated zones.
        """
        if self.checked_at is not None and now - self.checked_at > SUSPENSION_SECONDS:
            self.resumed_at = now
        self.checked_at = now
        return (
            now - self.resumed_at < SUSPENSION_HOLD_SECONDS
            and read_at < self.resumed_at
        )
