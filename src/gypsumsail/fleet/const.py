"""Constants of the watch over the engines."""

from __future__ import annotations

from typing import Final

MIN_ROUND_SECONDS: Final = 0.25
SAME_ZONE_REPORTS_PER_SECOND: Final = 40.0
CROSS_ZONE_REPORTS_PER_SECOND: Final = 15.0
MIN_PAUSE_SECONDS: Final = 0.01
CALL_TIMEOUT_SECONDS: Final = 2.0
REPORT_TIMEOUT_SECONDS: Final = 3.0
ROUNDS_PER_STATE_READ: Final = 4
