"""Constants of the detection of requests that crash targets."""

from __future__ import annotations

from typing import Final

CRASHES_TO_CONVICT: Final = 2
"""Number of target crashes at which a request is convicted.

A crash counts once per target instance. The request must have run in the suspect slot
of the target that crashed last.
"""
CONVICTION_SECONDS: Final = 600.0
"""Time for which a convicted request is refused."""
SUSPICION_SECONDS: Final = 600.0
"""Time after which a crash no longer counts against a request."""
SLOT_LIFETIME_SECONDS: Final = 120.0
"""Time after which a suspect slot that was not freed is available again."""
ATTEMPT_RETENTION_SECONDS: Final = 3_600.0
"""Time after which an attempt whose end was not reported is dropped."""
MAX_RECORDS: Final = 50_000
"""Number of fingerprints above which the oldest one is evicted."""
OWNER_TIMEOUT_SECONDS: Final = 0.25
BUSY_RETRY_AFTER_SECONDS: Final = 5.0
EXPIRE_INTERVAL_SECONDS: Final = 10.0
