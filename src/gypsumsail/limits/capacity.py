"""Estimate of what a service can serve."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.limits.const import (
    INTEGRAL_GAIN_FALLING,
    INTEGRAL_GAIN_RISING,
    MAX_CORRECTION,
    MIN_CORRECTION,
    OVERLOAD_BACKLOG_SECONDS,
    PROPORTIONAL_GAIN,
    RECOVERY_BACKLOG_SECONDS,
    REPORT_INTERVAL_SECONDS,
    TARGET_BACKLOG_SECONDS,
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
            if backlog <= OVERLOAD_BACKLOG_SECONDS:
                return
            self.overloaded = True
            self.estimate = max(served, wanted / 2)
        error = TARGET_BACKLOG_SECONDS - backlog
        if error < 0 or wanted > self.tokens:
            gain = INTEGRAL_GAIN_RISING if error > 0 else INTEGRAL_GAIN_FALLING
            self.estimate *= 1 + gain * error * REPORT_INTERVAL_SECONDS
        correction = min(
            max(1 + PROPORTIONAL_GAIN * error, MIN_CORRECTION), MAX_CORRECTION
        )
        self.tokens = self.estimate * correction
        if backlog < RECOVERY_BACKLOG_SECONDS and wanted < self.tokens:
            self.overloaded = False
