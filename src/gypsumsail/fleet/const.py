"""Constants of reading engines and sharing the reports."""

from __future__ import annotations

from typing import Final

MIN_ROUND_SECONDS: Final = 0.25
"""Minimum time between two reads of the same engine."""
SAME_ZONE_REPORTS_PER_SECOND: Final = 40.0
"""Maximum rate of reports on engines of the own zone that an entry receives."""
CROSS_ZONE_REPORTS_PER_SECOND: Final = 15.0
"""Maximum rate of reports on engines of other zones that an entry receives."""
MIN_PAUSE_SECONDS: Final = 0.01
"""Minimum pause between two rounds of reads."""
ENGINE_READ_TIMEOUT_SECONDS: Final = 2.0
"""Timeout of reading the load and state of one engine."""
REPORT_OVERDUE_MARGIN_SECONDS: Final = 3.0
"""Time in addition to two rounds after which a missing report is overdue."""
ROUNDS_PER_STATE_READ: Final = 4
"""Number of rounds per read of the engine state; the load is read in each round."""
