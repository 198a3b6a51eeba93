"""Constants of the distribution of documents."""

from __future__ import annotations

from typing import Final

DOCUMENT_PREFIX: Final = "documents/"

WATCH_WAIT_SECONDS: Final = 10.0
WATCH_TIMEOUT_SECONDS: Final = 15.0
EMPTY_WATCH_DELAY_SECONDS: Final = 0.1
LIST_INTERVAL_SECONDS: Final = 5.0
LIST_TIMEOUT_SECONDS: Final = 4.0
RETRY_SECONDS: Final = 1.0
RELAY_CHECK_SECONDS: Final = 0.5

COMPARE_INTERVAL_SECONDS: Final = 2.0
COMPARE_TIMEOUT_SECONDS: Final = 2.0
COMPARE_ATTEMPTS: Final = 3
MAX_COPIES_BYTES: Final = 2 * 1024 * 1024
DIGEST_BYTES: Final = 8

REPORT_CONCURRENCY: Final = 16

LAG_LIMIT_SECONDS: Final = 7.0
LAG_STALLED_SECONDS: Final = 3.0
UNCONFIRMED_LIMIT_SECONDS: Final = 15.0

APPLY_ATTEMPTS: Final = 5
# Versions skipped when a deleted object is created again, so that the new version is
# also above earlier writes that are not in force on any entry.
RECREATION_VERSION_GAP: Final = 1_000_000
APPLY_RETRY_SECONDS: Final = 0.2
