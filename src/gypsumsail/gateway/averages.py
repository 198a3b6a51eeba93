"""What the targets of a service need for a call, by their latest answers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import fmean

from gypsumsail.gateway.const import (
    DURATION_SMOOTHING,
    INITIAL_GENERATION_SECONDS,
    INITIAL_PREFILL_TOKENS_PER_SECOND,
    MIN_PREFILL_SAMPLE_TOKENS,
    PREFILL_RATE_SMOOTHING,
    REMEMBERED_ANSWERS,
)


@dataclass(slots=True, kw_only=True)
class PrefillRate:
    """Moving average of the prefill speed of a service's engines, in tokens/s.

    The assumed speed counts as one sample.
    """

    tokens_per_second: float = INITIAL_PREFILL_TOKENS_PER_SECOND
    samples: int = 0

    def observe(self, tokens: int, seconds: float) -> None:
        """Add a sample: the seconds in which an engine prefilled some tokens."""
        if tokens < MIN_PREFILL_SAMPLE_TOKENS or seconds <= 0:
            return
        sample = tokens / seconds
        self.samples += 1
        weight = max(1.0 / (self.samples + 1), PREFILL_RATE_SMOOTHING)
        self.tokens_per_second += weight * (sample - self.tokens_per_second)


@dataclass(slots=True, kw_only=True)
class GenerationTime:
    """Moving average of the seconds that a generation of a route occupies an engine."""

    seconds: float = INITIAL_GENERATION_SECONDS

    def observe(self, seconds: float) -> None:
        """Add a sample: the seconds from a send to the end of its stream."""
        self.seconds += DURATION_SMOOTHING * (seconds - self.seconds)


@dataclass(slots=True)
class AnswerTime:
    """Seconds that targets took for the latest answers of a route."""

    seconds: deque[float] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_ANSWERS)
    )

    def observe(self, seconds: float) -> None:
        """Add a sample: the seconds from a send to the end of its answer."""
        self.seconds.append(seconds)

    @property
    def longest(self) -> float | None:
        """Return the longest of these times; ``None`` before the first answer."""
        return max(self.seconds, default=None)

    @property
    def mean(self) -> float | None:
        """Return the mean of these times; ``None`` before the first answer."""
        return fmean(self.seconds) if self.seconds else None
