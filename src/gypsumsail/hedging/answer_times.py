"""Time to the first event or answer of a route's calls over a recent period."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from gypsumsail.hedging.const import (
    HALF_PERIOD_SECONDS,
    MAX_MICROSECONDS,
    MICROSECONDS_PER_SECOND,
    MIN_MICROSECONDS,
    MIN_SAMPLES,
    SIGNIFICANT_DIGITS,
    THRESHOLD_LIFETIME_SECONDS,
    THRESHOLD_PERCENTILE,
)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


class AnswerTimes:
    """Answers of the current half period and of the one before it.

    Attributes
    ----------
    begun_at
        Time at which the current half period began.
    threshold_at
        Time at which the threshold was computed last.
    """

    def __init__(self) -> None:
        self.current = _new_histogram()
        self.previous = _new_histogram()
        self.begun_at = 0.0
        self.threshold_seconds: float | None = None
        self.threshold_at = float("-inf")

    def observe(self, seconds: float, now: float) -> None:
        """Add the seconds from a first send to the first event or answer."""
        self._rotate(now)
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        self.current.record_value(
            min(max(microseconds, MIN_MICROSECONDS), MAX_MICROSECONDS)
        )

    def threshold(self, now: float) -> float | None:
        """Return the seconds after which a call is slow.

        Returns ``None`` while there are fewer than ``MIN_SAMPLES`` recent answers.
        """
        if now - self.threshold_at < THRESHOLD_LIFETIME_SECONDS:
            return self.threshold_seconds
        self._rotate(now)
        self.threshold_at = now
        self.threshold_seconds = self._measured()
        return self.threshold_seconds

    def _measured(self) -> float | None:
        merged = _new_histogram()
        merged.add(self.previous)
        merged.add(self.current)
        if merged.get_total_count() < MIN_SAMPLES:
            return None
        microseconds = float(merged.get_value_at_percentile(THRESHOLD_PERCENTILE))
        return microseconds / MICROSECONDS_PER_SECOND

    def _rotate(self, now: float) -> None:
        """Begin another half period once the current one is over."""
        elapsed = now - self.begun_at
        if elapsed < HALF_PERIOD_SECONDS:
            return
        is_next = elapsed < 2 * HALF_PERIOD_SECONDS
        self.previous = self.current if is_next else _new_histogram()
        self.current = _new_histogram()
        self.begun_at = now
