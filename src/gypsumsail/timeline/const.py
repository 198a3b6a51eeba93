"""Limits and storage prefixes of the timeline."""

from __future__ import annotations

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1_000
MAX_CLOCK_LEAD_MILLISECONDS: Final = 5_000
"""Remote timestamps further ahead of the local clock are rejected."""

MAX_DETAIL_CHARACTERS: Final = 200
MAX_FIELD_CHARACTERS: Final = 128

RING_BUFFER_EVENTS: Final = 20_000
"""Events that a process keeps in memory."""
OPERATOR_PAGE_EVENTS: Final = 500
"""Maximum number of events in one page of the operator API."""

ARCHIVE_QUEUE_EVENTS: Final = 20_000
"""Events that may wait to be archived; the oldest are dropped first."""
ARCHIVE_PAGE_EVENTS: Final = 1_000
"""Maximum number of events in an archived page."""
ARCHIVE_BUCKET_SECONDS: Final = 60
"""Time span whose segments share a key prefix on the platform."""
ARCHIVE_PUSH_INTERVAL_SECONDS: Final = 5.0
"""Interval at which an entry sends its queued events to the collector."""
ARCHIVE_FLUSH_INTERVAL_SECONDS: Final = 5.0
"""Interval at which the collector writes the buffered pages to the platform."""
ARCHIVE_REQUEST_TIMEOUT_SECONDS: Final = 20.0
"""Timeout of the request to the collector, which responds after its write."""
ARCHIVE_RETENTION_DAYS: Final = 7
SECONDS_PER_DAY: Final = 86_400
MAX_BUCKETS_PER_SWEEP: Final = 2
"""Maximum number of expired buckets that one sweep deletes.

A small number limits how much a VM whose clock is far ahead can delete.
"""
MAX_PENDING_BYTES: Final = 8 * 1024 * 1024
"""Bytes of submitted pages that a collector buffers until the next flush."""
MAX_SEGMENT_BYTES: Final = 900_000
"""Maximum bytes of the encoded pages in one segment.

Leaves room below the platform's limit for the size of a value.
"""
MAX_DECOMPRESSED_PAGE_BYTES: Final = 4 * 1024 * 1024
"""Limit that protects the reader from pages that decompress to a huge size."""
ARCHIVE_PREFIX: Final = "timeline/"
SWEEP_POSITION_PREFIX: Final = "timeline-sweep/"
