"""Metrics in the Prometheus text exposition format."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import accumulate

from gypsumsail.metrics import const
from gypsumsail.metrics.families import Counter, Family, Gauge, Histogram, Labels

AnyFamily = Family[Counter] | Family[Gauge] | Family[Histogram]


def format_families(families: Iterable[AnyFamily]) -> str:
    """Return families as text, each with its HELP and TYPE lines."""
    lines = [line for family in families for line in _family_lines(family)]
    return "".join(f"{line}\n" for line in lines)


def _family_lines(family: AnyFamily) -> Iterator[str]:
    kind = family.series_type.__name__.lower()
    yield f"# HELP {family.name} {_escape_help(family.description)}"
    yield f"# TYPE {family.name} {kind}"
    for values, series in family.series.items():
        pairs = _label_pairs(family.label_names, values)
        if isinstance(series, Histogram):
            yield from _histogram_lines(family.name, pairs, series)
        else:
            yield f"{family.name}{_format_labels(pairs)} {_format_number(series.value)}"
    if family.series_type is Histogram:
        yield from _quantile_lines(family)


def _histogram_lines(name: str, pairs: list[str], series: Histogram) -> Iterator[str]:
    counts = accumulate(series.bucket_counts)
    # The last bucket is the +Inf line below.
    for bound, count in zip(const.BUCKET_BOUNDS_SECONDS, counts, strict=False):
        labels = _format_labels([*pairs, f'le="{_format_number(bound)}"'])
        yield f"{name}_bucket{labels} {count}"
    total = series.quantile_histogram.get_total_count()
    infinity_labels = _format_labels([*pairs, 'le="+Inf"'])
    yield f"{name}_bucket{infinity_labels} {total}"
    yield f"{name}_sum{_format_labels(pairs)} {_format_number(series.sum_seconds)}"
    yield f"{name}_count{_format_labels(pairs)} {total}"


def _quantile_lines(family: AnyFamily) -> Iterator[str]:
    name = f"{family.name}_quantile"
    yield f"# HELP {name} Quantiles of {family.name} since the start."
    yield f"# TYPE {name} gauge"
    for values, series in family.series.items():
        if not isinstance(series, Histogram):
            continue
        pairs = _label_pairs(family.label_names, values)
        for quantile, seconds in series.quantiles().items():
            labels = _format_labels([*pairs, f'quantile="{quantile}"'])
            yield f"{name}{labels} {_format_number(seconds)}"


def _label_pairs(names: Labels, values: Labels) -> list[str]:
    return [
        f'{name}="{_escape_label(value)}"'
        for name, value in zip(names, values, strict=True)
    ]


def _format_labels(pairs: list[str]) -> str:
    return f"{{{','.join(pairs)}}}" if pairs else ""


def _escape_label(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _escape_help(value: str) -> str:
    return value.replace("\\", r"\\").replace("\n", r"\n")


def _format_number(value: float) -> str:
    return f"{value:.12g}"
