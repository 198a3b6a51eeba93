"""Constants of the handling of requests that crash targets."""

from __future__ import annotations

from typing import Final

CRASHES_TO_CONVICT: Final = 2
CONVICTION_SECONDS: Final = 600.0
SUSPICION_SECONDS: Final = 600.0
SLOT_LIFETIME_SECONDS: Final = 120.0
ATTEMPT_RETENTION_SECONDS: Final = 3_600.0
MAX_RECORDS: Final = 50_000
OWNER_TIMEOUT_SECONDS: Final = 0.25
BUSY_RETRY_AFTER_SECONDS: Final = 5.0
EXPIRE_INTERVAL_SECONDS: Final = 10.0
