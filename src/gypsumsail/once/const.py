"""Constants of at-most-once execution."""

from __future__ import annotations

from typing import Final

LEDGER_PREFIX: Final = "once/"
LEDGER_PARTITIONS: Final = 16

# The owner's timeout is shorter than that of the reservation, so that the entry can
# still commit the reservation directly. The reservation's timeout is shorter than the
# send window, so that time to send is left.
SEND_WINDOW_SECONDS: Final = 5.0
RESERVE_TIMEOUT_SECONDS: Final = 3.0
OWNER_TIMEOUT_SECONDS: Final = 1.0
COMMIT_TIMEOUT_SECONDS: Final = 2.0
# Minimum time between the starts of two commits of a partition.
COMMIT_INTERVAL_SECONDS: Final = 0.1
COMMIT_ATTEMPTS: Final = 6

# The queue is flushed at this interval; a reservation in the same partition commits
# queued outcomes earlier.
OUTCOME_FLUSH_INTERVAL_SECONDS: Final = 3.0
UNLOAD_TIMEOUT_SECONDS: Final = 5.0
OUTCOME_QUEUE_LIMIT: Final = 10_000
MAX_OUTCOMES_PER_SUBMISSION: Final = 256

# A head is sealed, and a batch closed, once it has this many records; the last
# submission may take either above this number.
RECORDS_PER_SEGMENT: Final = 256
RECORDS_PER_BATCH: Final = 1_024
# Reservations are refused while a partition has this many segments.
MAX_SEGMENTS_PER_PARTITION: Final = 2_000

# Retention of sealed segments, and age at which a head is sealed, in ledger time.
RETENTION_SECONDS: Final = 86_400.0
SEAL_AGE_SECONDS: Final = 3_600.0

CLEANUP_INTERVAL_SECONDS: Final = 600.0

CIRCUIT_OPEN_SECONDS: Final = 1.0
RETRY_AFTER_SECONDS: Final = 2.0
RETRY_AFTER_JITTER_SECONDS: Final = 3.0
RUNNING_RETRY_AFTER_SECONDS: Final = 5.0
