"""Constants of the relay."""

from __future__ import annotations

from typing import Final

MAX_ATTEMPTS: Final = 4
VERDICT_POLL_SECONDS: Final = 0.02
MAX_VERDICT_POLLS: Final = 50
MAX_SLOT_ATTEMPTS: Final = 4
SLOT_RETRY_SECONDS: Final = 0.1
PROBE_INTERVAL_SECONDS: Final = 0.02
PROBE_TIMEOUT_SECONDS: Final = 0.5
FAILED_RETRY_AFTER_SECONDS: Final = 2.0
