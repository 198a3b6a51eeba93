"""Estimate of what a service can serve."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import (
    BAD_BACKLOG_SECONDS,
    CAPACITY_HEADROOM,
    CAPACITY_STEP,
    GOOD_BACKLOG_SECONDS,
)


@dataclass(slots=True)
class Capacity:
    """Tokens a second that a service can serve, found by its backlog.

    Attributes
    ----------
    tokens
        Estimate; meaningful while ``overloaded``.
    overloaded
        Whether the customers' shares are in force. It ends when the estimate has
        grown well past what is wanted.
    """

    tokens: float = 0.0
    overloaded: bool = False

    def update(self, *, served: float, wanted: float, backlog: float) -> None:
        """Take one round of reports.

        A long backlog lowers the estimate to what was served, less a step; a
        short one raises it by a step.
        """
        if backlog > BAD_BACKLOG_SECONDS:
            known = min(self.tokens, served) if self.overloaded else served
            self.tokens = max(known, served / CAPACITY_HEADROOM) * (1 - CAPACITY_STEP)
            self.overloaded = True
        elif self.overloaded and backlog < GOOD_BACKLOG_SECONDS:
            self.tokens = max(self.tokens, served) * (1 + CAPACITY_STEP)
        if self.overloaded and self.tokens > CAPACITY_HEADROOM * wanted:
            self.overloaded = False
