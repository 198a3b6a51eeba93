"""Counters, gauges and histograms with a bounded number of label values."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hdrh.histogram import HdrHistogram

from gypsumsail.metrics import const

Labels = tuple[str, ...]


@dataclass(slots=True)
class Counter:
    """A number that only grows."""

    value: float = 0.0

    @staticmethod
    def max_series() -> int:
        """Return how many series a family may have."""
        return const.MAX_SERIES

    def increment(self, amount: float = 1.0) -> None:
        """Add to the counter."""
        self.value += amount

    def set_total(self, total: float) -> None:
        """Take over a total that is counted elsewhere; it never goes back."""
        self.value = max(self.value, total)


@dataclass(slots=True)
class Gauge:
    """A number that goes up and down."""

    value: float = 0.0

    @staticmethod
    def max_series() -> int:
        """Return how many series a family may have."""
        return const.MAX_SERIES

    def set(self, value: float) -> None:
        """Set the gauge."""
        self.value = value


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        const.MIN_MICROSECONDS, const.MAX_MICROSECONDS, const.SIGNIFICANT_DIGITS
    )


def _new_buckets() -> list[int]:
    return [0] * (len(const.BUCKET_BOUNDS_SECONDS) + 1)


@dataclass(slots=True)
class Histogram:
    """Distribution of durations.

    Attributes
    ----------
    bucket_counts
        Durations by the smallest bucket bound that is not below them; the last
        one counts those above all bounds.
    values
        Durations in microseconds, exact to two digits, for the quantiles.
    """

    bucket_counts: list[int] = field(default_factory=_new_buckets)
    sum_seconds: float = 0.0
    values: HdrHistogram = field(default_factory=_new_histogram)

    @staticmethod
    def max_series() -> int:
        """Return how many series a family may have."""
        return const.MAX_HISTOGRAM_SERIES

    def observe(self, seconds: float) -> None:
        """Count one duration; a longer one than an hour counts as an hour."""
        microseconds = int(seconds * const.MICROSECONDS_PER_SECOND)
        bounded = max(const.MIN_MICROSECONDS, min(const.MAX_MICROSECONDS, microseconds))
        self.values.record_value(bounded)
        self.bucket_counts[bisect_left(const.BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds

    def quantiles(self) -> dict[float, float]:
        """Return the seconds of each quantile; empty when nothing was counted."""
        if not self.values.get_total_count():
            return {}
        percentiles = [quantile * 100 for quantile in const.QUANTILES]
        values_by_percentile = self.values.get_percentile_to_value_dict(percentiles)
        return {
            quantile: values_by_percentile[quantile * 100]
            / const.MICROSECONDS_PER_SECOND
            for quantile in const.QUANTILES
        }


_SeriesT = TypeVar("_SeriesT", Counter, Gauge, Histogram)


class Family(Generic[_SeriesT]):
    """All series of one metric.

    Attributes
    ----------
    label_names
        Names of the labels, in the order of their values.
    overflow
        Whether values were put together as "other" because there were too many.
    """

    def __init__(
        self,
        name: str,
        description: str,
        label_names: Labels,
        series_type: type[_SeriesT],
    ) -> None:
        self.name = name
        self.description = description
        self.label_names = label_names
        self.series_type: type[_SeriesT] = series_type
        self.series: dict[Labels, _SeriesT] = {}
        self.overflow = False
        self.limit = series_type.max_series()

    def labels(self, *values: str) -> _SeriesT:
        """Return the series of label values; keep it where it is used often.

        Raises
        ------
        ValueError
            The number of values is not that of the names.
        """
        series = self.series.get(values)
        if series is not None:
            return series
        return self._add(values)

    def _add(self, values: Labels) -> _SeriesT:
        if len(values) != len(self.label_names):
            raise ValueError(f"{self.name} has the labels {self.label_names}")
        key = tuple(value[: const.MAX_LABEL_LENGTH] for value in values)
        if key not in self.series and len(self.series) >= self.limit:
            self.overflow = True
            key = (const.OVERFLOW_LABEL,) * len(values)
        return self.series.setdefault(key, self.series_type())
