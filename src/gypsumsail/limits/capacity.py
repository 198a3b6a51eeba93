"""Estimates the load that a service can serve."""

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
    """Tokens per second to admit, so that the backlog stays short but not empty.

    This is a proportional-integral controller of the backlog. At the start of an
    overload, the estimate is the served rate or half of the demand, whichever is
    higher. Afterwards the served rate is ignored: answers end long after their
    admission, so that a rate that followed them would shrink with each round, down to
    zero. The estimate rises faster than it falls, because idle engines cost more than a
    backlog, which other limits bound.

    Attributes
    ----------
    estimate
        Tokens per second that the service is estimated to serve; valid only while
        ``overloaded``.
    admitted_rate
        Rate to admit in tokens per second: the estimate corrected for the current
        backlog.
    overloaded
        Whether the customers' shares are enforced. Enforcement starts with a long
        backlog and ends once the backlog is short and all demand fits.
    """

    estimate: float = 0.0
    admitted_rate: float = 0.0
    overloaded: bool = False

    def update(self, *, served: float, wanted: float, backlog: float) -> None:
        """Process one round of reports."""
        if not self.overloaded:
            if backlog <= OVERLOAD_BACKLOG_SECONDS:
                return
            self.overloaded = True
            self.estimate = max(served, wanted / 2)
        error = TARGET_BACKLOG_SECONDS - backlog
        if error < 0 or wanted > self.admitted_rate:
            gain = INTEGRAL_GAIN_RISING if error > 0 else INTEGRAL_GAIN_FALLING
            self.estimate *= 1 + gain * error * REPORT_INTERVAL_SECONDS
        correction = min(
            max(1 + PROPORTIONAL_GAIN * error, MIN_CORRECTION), MAX_CORRECTION
        )
        self.admitted_rate = self.estimate * correction
        if backlog < RECOVERY_BACKLOG_SECONDS and wanted < self.admitted_rate:
            self.overloaded = False
