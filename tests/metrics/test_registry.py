"""Tests of the metrics registry and its text exposition."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
import pytest

from gypsumsail.metrics.const import BUCKET_BOUNDS_SECONDS, MAX_SERIES
from gypsumsail.metrics.registry import MetricsRegistry


def test_exposition_has_help_type_and_escaped_labels() -> None:
    registry = MetricsRegistry()
    registry.counter("requests_total", "Calls.", ("service",)).labels(
        'a"b\\c\nd'
    ).increment(2)
    registry.gauge("peers", "Peers.").labels().set(1.5)

    assert registry.exposition() == (
        "# HELP requests_total Calls.\n"
        "# TYPE requests_total counter\n"
        'requests_total{service="a\\"b\\\\c\\nd"} 2\n'
        "# HELP peers Peers.\n"
        "# TYPE peers gauge\n"
        "peers 1.5\n"
    )


def test_number_of_series_is_bounded() -> None:
    registry = MetricsRegistry()
    family = registry.counter("calls_total", "Calls.", ("customer",))
    for number in range(MAX_SERIES + 50):
        family.labels(f"c{number}").increment()

    assert len(family.series) == MAX_SERIES + 1
    assert family.labels("one-more").value == 50
    assert family.overflow
    with pytest.raises(ValueError, match="labels"):
        family.labels("a", "b")
    with pytest.raises(ValueError, match="exists"):
        registry.gauge("calls_total", "Calls.")


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.lists(st.floats(0, 4_000, allow_nan=False), max_size=40))
def test_bucket_counts_match_the_observed_durations(durations: list[float]) -> None:
    registry = MetricsRegistry()
    family = registry.histogram("wait_seconds", "Wait.")
    for duration in durations:
        family.labels().observe(duration)
    # Creates the series if there are no durations.
    family.labels()

    lines = dict(
        line.rsplit(" ", 1)
        for line in registry.exposition().splitlines()
        if not line.startswith("#")
    )
    for bound in BUCKET_BOUNDS_SECONDS:
        count = int(lines[f'wait_seconds_bucket{{le="{bound:.12g}"}}'])
        assert count == sum(duration <= bound for duration in durations)
    if durations:
        median = float(lines['wait_seconds_quantile{quantile="0.5"}'])
        # Quantiles have two significant digits and cap durations at one hour.
        below = sum(duration < median * 0.98 - 1e-5 for duration in durations)
        above = sum(duration > median * 1.02 + 1e-5 for duration in durations)
        assert max(below, above) <= len(durations) / 2 or median >= 3_600
    assert int(lines["wait_seconds_count"]) == len(durations)
    assert int(lines['wait_seconds_bucket{le="+Inf"}']) == len(durations)
