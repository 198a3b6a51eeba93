"""Counters, gauges and histograms with a bounded number of series."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from hdrh.histogram import HdrHistogram

from gypsumsail.metrics import const

Labels = tuple[str, ...]


@dataclass(slots=True)
class Counter:
    """A value that only increases."""

    value: float = 0.0

    @staticmethod
    def max_series() -> int:
        """Return the maximum number of series in a family."""
        return const.MAX_SERIES

    def increment(self, amount: float = 1.0) -> None:
        """Increase the counter by an amount."""
        self.value += amount

    def set_total(self, total: float) -> None:
        """Set the counter to a total counted elsewhere; lower totals are ignored."""
        self.value = max(self.value, total)


@dataclass(slots=True)
class Gauge:
    """A value that can increase and decrease."""

    value: float = 0.0

    @staticmethod
    def max_series() -> int:
        """Return the maximum number of series in a family."""
        return const.MAX_SERIES

    def set(self, value: float) -> None:
        """Set the gauge."""
        self.value = value


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        const.HISTOGRAM_MIN_MICROSECONDS,
        const.HISTOGRAM_MAX_MICROSECONDS,
        const.HISTOGRAM_SIGNIFICANT_DIGITS,
    )


def _new_buckets() -> list[int]:
    return [0] * (len(const.BUCKET_BOUNDS_SECONDS) + 1)


@dataclass(slots=True)
class Histogram:
    """Distribution of durations.

    Attributes
    ----------
    bucket_counts
        Number of durations per bucket, not cumulative. The upper bounds are inclusive;
        the last bucket has no upper bound.
    quantile_histogram
        Durations in microseconds with two significant digits, for the quantiles.
    """

    bucket_counts: list[int] = field(default_factory=_new_buckets)
    sum_seconds: float = 0.0
    quantile_histogram: HdrHistogram = field(default_factory=_new_histogram)

    @staticmethod
    def max_series() -> int:
        """Return the maximum number of series in a family."""
        return const.MAX_HISTOGRAM_SERIES

    def observe(self, seconds: float) -> None:
        """Record one duration; the quantiles cap it at one hour."""
        microseconds = int(seconds * const.MICROSECONDS_PER_SECOND)
        bounded = max(
            const.HISTOGRAM_MIN_MICROSECONDS,
            min(const.HISTOGRAM_MAX_MICROSECONDS, microseconds),
        )
        self.quantile_histogram.record_value(bounded)
        self.bucket_counts[bisect_left(const.BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.sum_seconds += seconds

    def quantiles(self) -> dict[float, float]:
        """Return the seconds of each quantile; empty if nothing was recorded."""
        if not self.quantile_histogram.get_total_count():
            return {}
        percentiles = [quantile * 100 for quantile in const.QUANTILES]
        values_by_percentile = self.quantile_histogram.get_percentile_to_value_dict(
            percentiles
        )
        return {
            quantile: values_by_percentile[quantile * 100]
            / const.MICROSECONDS_PER_SECOND
            for quantile in const.QUANTILES
        }


_SeriesT = TypeVar("_SeriesT", Counter, Gauge, Histogram)


class Family(Generic[_SeriesT]):
    """All series of one metric, by their label values.

    Attributes
    ----------
    label_names
        Names of the labels, in the order of the values given to `labels`.
    overflow
        Whether the series limit was reached, so that further label values are
        counted in the series with the value "other".
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
        """Return the series of the label values.

        Callers that update a series often should keep the returned object.

        Raises
        ------
        ValueError
            The number of values differs from the number of label names.
        """
        series = self.series.get(values)
        if series is not None:
            return series
        return self._add(values)

    def _add(self, values: Labels) -> _SeriesT:
        if len(values) != len(self.label_names):
            raise ValueError(
                f"{self.name} needs a value for each of the labels {self.label_names}"
            )
        key = tuple(value[: const.MAX_LABEL_CHARACTERS] for value in values)
        if key not in self.series and len(self.series) >= self.limit:
            self.overflow = True
            key = (const.OVERFLOW_LABEL,) * len(values)
        return self.series.setdefault(key, self.series_type())
