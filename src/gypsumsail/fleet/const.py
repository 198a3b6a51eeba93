"""Constants of the watch over the engines."""

from __future__ import annotations

from typing import Final

SHORTEST_ROUND_SECONDS: Final = 0.25
REPORTS_PER_SECOND: Final = 60.0
CALL_TIMEOUT_SECONDS: Final = 2.0
MISSING_REPORT_SECONDS: Final = 3.0
STATE_ROUNDS: Final = 4
