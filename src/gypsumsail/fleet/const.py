"""Constants of the watch over the engines."""

from __future__ import annotations

from typing import Final

SHORTEST_ROUND_SECONDS: Final = 0.25
NEAR_REPORTS_PER_SECOND: Final = 40.0
FAR_REPORTS_PER_SECOND: Final = 15.0
SHORTEST_PAUSE_SECONDS: Final = 0.01
CALL_TIMEOUT_SECONDS: Final = 2.0
MISSING_REPORT_SECONDS: Final = 3.0
STATE_ROUNDS: Final = 4
