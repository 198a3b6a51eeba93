"""Constants of the entry role."""

from __future__ import annotations

from typing import Final

HEADER_AUTHORIZATION: Final = b"authorization"
HEADER_CONTENT_LENGTH: Final = b"content-length"
HEADER_CONTENT_TYPE: Final = b"content-type"
HEADER_IDEMPOTENCY_KEY: Final = b"idempotency-key"
HEADER_PRIORITY: Final = b"x-priority"
HEADER_DEADLINE: Final = b"x-deadline"

BEARER_PREFIX: Final = b"Bearer "

IDEMPOTENCY_KEY_MAX_LENGTH: Final = 200
API_KEY_MAX_LENGTH: Final = 200
MAX_ANSWER_TOKENS: Final = 16_384
DEFAULT_ANSWER_TOKENS: Final = 256

LOWEST_PRIORITY: Final = 9
"""Number of the least urgent priority; 0 is the most urgent."""

BODY_READ_TIMEOUT_SECONDS: Final = 30.0

STOPPING_RETRY_SECONDS: Final = 0.1
"""Retry delay of a request that a stopping entry refuses; others can serve it."""
DEADLINE_GRACE_SECONDS: Final = 600.0
"""Time after its deadline at which a job is cancelled in any case.

Only a non-repeatable job that was sent is still running then.
"""

NO_TARGET_RETRY_AFTER_SECONDS: Final = 2.0
"""Retry delay that is returned to callers if no target is available."""

RETRY_AFTER_JITTER_SECONDS: Final = 2.0
"""Maximum random delay added to a retry delay, to spread the retries of callers."""
