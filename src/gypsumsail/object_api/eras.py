"""Order of revisions across restores of the platform's store.

A store that is restored from an older copy loses the latest writes and gives out their
revisions again. Each restore starts a new era. A position combines the era with a
revision, so that comparing positions as integers orders all states that the store ever
had. Without eras, a position equals its revision.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.core.errors import TransportError

REVISION_BITS: Final = 40
"""Bits of a position that hold the revision; the era is in the bits above."""
MAX_ERA: Final = 2**22 - 1
"""Highest era, so that positions and fencing numbers stay exact in all codecs."""
FENCES_PER_ERA: Final = 2**28
"""Number of fencing numbers that belong to one era."""


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return (era << REVISION_BITS) | revision


def era_of(value: int) -> int:
    """Return the era of a position."""
    return value >> REVISION_BITS


def revision_of(value: int) -> int:
    """Return the store's own revision at a position."""
    return value & ((1 << REVISION_BITS) - 1)


def fence_floor(era: int) -> int:
    """Return the number that all fencing numbers of an era exceed.

    It is not lower than any fencing number of earlier eras, including those that the
    store has lost.
    """
    return era * FENCES_PER_ERA


@dataclass(slots=True, kw_only=True)
class EraTracker:
    """Latest era of the store that this process has seen.

    Attributes
    ----------
    current
        Latest era; 0 if the store has stated none.
    since
        Monotonic time at which this process first saw the era.
    """

    current: int = 0
    since: float = float("-inf")

    def observe(self, stated: int | None, now: float) -> int:
        """Return the era of an answer and remember it.

        Parameters
        ----------
        stated
            Era that the answer states. An answer that states none belongs to the
            latest known era.

        Raises
        ------
        TransportError
            The answer is from an earlier era and says nothing about the store's
            present state.
        """
        if stated is None:
            return self.current
        if stated < self.current:
            message = (
                f"answer from era {stated} of the store, which is in {self.current}"
            )
            raise TransportError(message, sent=True)
        if stated > self.current:
            self.current = stated
            self.since = now
        return stated
