"""Limits and storage prefixes of the timeline."""

from __future__ import annotations

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1_000
MAX_CLOCK_LEAD_MILLISECONDS: Final = 5_000
"""Remote timestamps further ahead of the local clock are rejected."""

MAX_DETAIL_LENGTH: Final = 200
MAX_FIELD_LENGTH: Final = 128

RING_BUFFER_EVENTS: Final = 20_000
"""Events that a process keeps in memory."""
PAGE_EVENTS: Final = 500
"""Maximum number of events in a page of the operator API."""

ARCHIVE_QUEUE_EVENTS: Final = 20_000
"""Events that may wait to be archived; the oldest are dropped first."""
ARCHIVE_PAGE_EVENTS: Final = 1_000
"""Maximum number of events in an archived page."""
ARCHIVE_BUCKET_SECONDS: Final = 60
"""Time span whose segments share a key prefix on the platform."""
ARCHIVE_PUSH_INTERVAL_SECONDS: Final = 5.0
ARCHIVE_FLUSH_INTERVAL_SECONDS: Final = 5.0
ARCHIVE_REQUEST_TIMEOUT_SECONDS: Final = 20.0
"""Timeout of the request to the collector, which responds after its write."""
ARCHIVE_RETENTION_DAYS: Final = 7
SECONDS_PER_DAY: Final = 86_400
MAX_BUCKETS_PER_SWEEP: Final = 2
"""Limits how much a VM whose clock is far ahead can delete."""
MAX_PENDING_BYTES: Final = 8 * 1024 * 1024
"""Bytes of submitted pages that a collector buffers until the next flush."""
MAX_SEGMENT_BYTES: Final = 900_000
"""Size of the pages in one value, small enough for the platform."""
MAX_PAGE_BYTES: Final = 4 * 1024 * 1024
"""Limit of the decompressed size of a page."""
ARCHIVE_PREFIX: Final = "timeline/"
SWEEP_POSITION_PREFIX: Final = "timeline-sweep/"
