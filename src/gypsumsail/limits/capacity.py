"""Estimate of what a service can serve."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import (
    BACKLOG_GAIN,
    BAD_BACKLOG_SECONDS,
    FALL_GAIN,
    GOOD_BACKLOG_SECONDS,
    LEAST_CORRECTION,
    MOST_CORRECTION,
    REPORT_INTERVAL_SECONDS,
    RISE_GAIN,
    WANTED_BACKLOG_SECONDS,
)


@dataclass(slots=True)
class Capacity:
    """Tokens a second to admit, so that the backlog stays short but not empty.

    A proportional and integral control by the backlog. What is served isn't
    followed: answers end long after they were admitted, and admitting less
    because less ends would go on to nothing. The estimate rises faster than it
    falls, since idle engines cost more than a backlog that is bounded elsewhere.

    Attributes
    ----------
    estimate
        What the service is taken to serve; meaningful while ``overloaded``.
    tokens
        What is admitted now: more or less than the estimate by the backlog.
    overloaded
        Whether the customers' shares are in force: from a long backlog on, until
        it is short and all that is wanted fits.
    """

    estimate: float = 0.0
    tokens: float = 0.0
    overloaded: bool = False

    def update(self, *, served: float, wanted: float, backlog: float) -> None:
        """Take one round of reports."""
        if not self.overloaded:
            if backlog <= BAD_BACKLOG_SECONDS:
                return
            self.overloaded = True
            self.estimate = max(served, wanted / 2)
        error = WANTED_BACKLOG_SECONDS - backlog
        if error < 0 or wanted > self.tokens:
            gain = RISE_GAIN if error > 0 else FALL_GAIN
            self.estimate *= 1 + gain * error * REPORT_INTERVAL_SECONDS
        correction = min(
            max(1 + BACKLOG_GAIN * error, LEAST_CORRECTION), MOST_CORRECTION
        )
        self.tokens = self.estimate * correction
        if backlog < GOOD_BACKLOG_SECONDS and wanted < self.tokens:
            self.overloaded = False
