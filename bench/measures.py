"""Metrics of a run, computed from the outcomes of its calls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

from bench.callers import DEADLINE_SECONDS, Outcome
from bench.layouts import Layout
from bench.traffic import CallClass

MICROSECONDS_PER_SECOND: Final = 1_000_000
MAX_RECORDED_SECONDS: Final = 120
SIGNIFICANT_FIGURES: Final = 3
RECOVERED_SHARE: Final = 0.8
RECOVERY_WINDOW_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Percentiles:
    """Percentiles in seconds; all are 0 if there are no values."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassMeasures:
    """Metrics of one class of calls.

    Attributes
    ----------
    whole
        Number of calls with a complete answer.
    first_token
        Time to the first token of the complete answers.
    goodput
        Complete and correct answers within the deadline per second.
    """

    calls: int
    whole: int
    first_token: Percentiles
    goodput: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """Metrics of one run.

    Attributes
    ----------
    between_tokens
        Seconds between two consecutive tokens, over all answers.
    recomputed
        Share of the returning prompts' tokens that engines computed again.
    refusals
        Number of calls by the reason of their failure.
    wrong
        End of the prompt and error of each wrong answer.
    fairness
        Lowest share, over all customers, of calls with a good answer.
    recovery_seconds
        Seconds from the start of a fault until the share of good answers in a window
        of ``RECOVERY_WINDOW_SECONDS`` is at least ``RECOVERED_SHARE`` of the share
        before the fault; ``None`` without a fault, negative if that did not happen.
    link_bytes
        Bytes transferred over the link of each tier of each store.
    """

    classes: dict[str, ClassMeasures]
    between_tokens: Percentiles
    recomputed: float
    refusals: dict[str, int]
    wrong: tuple[str, ...]
    fairness: float
    recovery_seconds: float | None
    link_bytes: dict[str, int]


def percentiles(seconds: Sequence[float]) -> Percentiles:
    """Return the percentiles of some durations."""
    histogram = HdrHistogram(
        1, MAX_RECORDED_SECONDS * MICROSECONDS_PER_SECOND, SIGNIFICANT_FIGURES
    )
    for value in seconds:
        histogram.record_value(max(1, int(value * MICROSECONDS_PER_SECOND)))

    def at(percentile: float) -> float:
        if not seconds:
            return 0.0
        value: int = histogram.get_value_at_percentile(percentile)
        return round(value / MICROSECONDS_PER_SECOND, 4)

    return Percentiles(count=len(seconds), p50=at(50), p95=at(95), p99=at(99))


def is_good(outcome: Outcome) -> bool:
    """Return whether the complete and correct answer arrived before the deadline."""
    in_time = outcome.ended - outcome.started <= DEADLINE_SECONDS
    return outcome.whole and not outcome.wrong and in_time


def measure(
    layout: Layout,
    outcomes: Sequence[Outcome],
    *,
    seconds: float,
    fault_at: float | None,
    link_bytes: dict[str, int],
) -> Measures:
    """Return the metrics of a run that lasted ``seconds``."""
    gaps = [gap for outcome in outcomes for gap in outcome.token_gaps]
    return Measures(
        classes={
            str(call_class): _measure_class(
                [o for o in outcomes if o.call.call_class is call_class], seconds
            )
            for call_class in CallClass
        },
        between_tokens=percentiles(gaps),
        recomputed=recomputed_share(outcomes),
        refusals=dict(Counter(o.failure for o in outcomes if o.failure)),
        wrong=tuple(f"{o.call.prompt[-60:]}: {o.wrong}" for o in outcomes if o.wrong),
        fairness=min_customer_share(layout, outcomes),
        recovery_seconds=None
        if fault_at is None
        else recovery_time(outcomes, fault_at, seconds),
        link_bytes=link_bytes,
    )


def _measure_class(outcomes: Sequence[Outcome], seconds: float) -> ClassMeasures:
    first = [o.first_token for o in outcomes if o.whole and o.first_token is not None]
    return ClassMeasures(
        calls=len(outcomes),
        whole=sum(outcome.whole for outcome in outcomes),
        first_token=percentiles(first),
        goodput=round(sum(is_good(outcome) for outcome in outcomes) / seconds, 2),
    )


def recomputed_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of the returning prompts' tokens that engines computed."""
    returning = [
        o for o in outcomes if o.whole and o.call.call_class is CallClass.RETURNING
    ]
    prompt_tokens = sum(o.prompt_tokens for o in returning)
    reused_tokens = sum(o.cached_tokens + o.imported_tokens for o in returning)
    return round(1 - reused_tokens / prompt_tokens, 4) if prompt_tokens else 0.0


def min_customer_share(layout: Layout, outcomes: Sequence[Outcome]) -> float:
    """Return the lowest share, over all customers, of calls with a good answer."""
    sent = Counter(o.call.customer for o in outcomes)
    good = Counter(o.call.customer for o in outcomes if is_good(o))
    shares = [
        good[number] / sent[number]
        for number in range(len(layout.customers))
        if sent[number]
    ]
    return round(min(shares, default=1.0), 4)


def recovery_time(
    outcomes: Sequence[Outcome], fault_at: float, seconds: float
) -> float:
    """Return the seconds until calls succeed again almost as before a fault.

    The result is -1 if they don't until the end of the run.
    """
    good_at = [(o.call.at, is_good(o)) for o in outcomes]
    before = [ok for at, ok in good_at if at < fault_at]
    required_share = RECOVERED_SHARE * (sum(before) / len(before) if before else 1.0)
    at = fault_at
    while at + RECOVERY_WINDOW_SECONDS <= seconds:
        window = [ok for t, ok in good_at if at <= t < at + RECOVERY_WINDOW_SECONDS]
        if window and sum(window) / len(window) >= required_share:
            return round(at - fault_at, 2)
        at += RECOVERY_WINDOW_SECONDS / 8
    return -1.0
