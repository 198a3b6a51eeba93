"""Limits and names of metrics."""

from __future__ import annotations

from typing import Final

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
METRIC_NAME_PATTERN: Final = r"[a-z][a-z0-9_]*"
MAX_SERIES: Final = 2_000
"""Maximum number of series of a counter or gauge, besides the overflow series."""
MAX_HISTOGRAM_SERIES: Final = 50
"""Maximum number of series of a histogram, besides the overflow series."""
OVERFLOW_LABEL: Final = "other"
"""Label value of the series that counts everything over the series limit."""
MAX_LABEL_CHARACTERS: Final = 128

HISTOGRAM_MIN_MICROSECONDS: Final = 1
HISTOGRAM_MAX_MICROSECONDS: Final = 3_600_000_000
HISTOGRAM_SIGNIFICANT_DIGITS: Final = 2
MICROSECONDS_PER_SECOND: Final = 1_000_000
QUANTILES: Final = (0.5, 0.95, 0.99)
BUCKET_BOUNDS_SECONDS: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)
