"""Registry of the metrics of a process."""

from __future__ import annotations

import re

from gypsumsail.metrics.const import METRIC_NAME_PATTERN
from gypsumsail.metrics.exposition import AnyFamily, format_families
from gypsumsail.metrics.families import Counter, Family, Gauge, Histogram, Labels


class MetricsRegistry:
    """Metric families by name; each name can be registered once."""

    def __init__(self) -> None:
        self.families: dict[str, AnyFamily] = {}

    def counter(
        self, name: str, description: str, labels: Labels = ()
    ) -> Family[Counter]:
        """Register a counter; its name must end with ``_total``."""
        if not name.endswith("_total"):
            raise ValueError(f"counter {name} must end with _total")
        family = Family(name, description, labels, Counter)
        self._add(family)
        return family

    def gauge(self, name: str, description: str, labels: Labels = ()) -> Family[Gauge]:
        """Register a gauge."""
        family = Family(name, description, labels, Gauge)
        self._add(family)
        return family

    def histogram(
        self, name: str, description: str, labels: Labels = ()
    ) -> Family[Histogram]:
        """Register a histogram of durations; its name must end with ``_seconds``."""
        if not name.endswith("_seconds"):
            raise ValueError(f"histogram {name} must end with _seconds")
        family = Family(name, description, labels, Histogram)
        self._add(family)
        return family

    def exposition(self) -> str:
        """Return all metrics in the text exposition format."""
        return format_families(self.families.values())

    def _add(self, family: AnyFamily) -> None:
        if not re.fullmatch(METRIC_NAME_PATTERN, family.name):
            raise ValueError(f"{family.name} is not a valid metric name")
        if family.name in self.families:
            raise ValueError(f"metric {family.name} already exists")
        self.families[family.name] = family
