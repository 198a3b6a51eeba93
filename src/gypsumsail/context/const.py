"""Constants of the context directory."""

from __future__ import annotations

from typing import Final

BLOCK_BYTES: Final = 1024
"""Size of a prompt block in UTF-8 bytes."""
HASH_BYTES: Final = 16
BYTES_PER_TOKEN: Final = 4
"""Number of UTF-8 bytes that count as one token."""
TOKENS_PER_BLOCK: Final = BLOCK_BYTES // BYTES_PER_TOKEN
KV_BYTES_PER_TOKEN: Final = 256
"""Size of the key-value cache of one token in a store and in a transfer, in bytes."""
KV_BYTES_PER_BLOCK: Final = TOKENS_PER_BLOCK * KV_BYTES_PER_TOKEN

SHORT_HASH_BYTES: Final = 8
"""Length of the truncated hashes in directory keys and hash chains."""
SAMPLE_STRIDE_BLOCKS: Final = 8
"""Number of blocks between two samples of a hash chain."""
KEY_DEPTHS: Final = (32, 4, 1)
"""Depths in blocks of the hashes that serve as directory keys."""

MAX_RECORDS: Final = 16_000
"""Maximum number of records in the directory shard of an entry."""
MIN_MERGE_SHARE: Final = 0.75
"""Two prompts can share a record if they have at least this share of the blocks of the
shorter one in common."""
MIN_REUSE_SHARE: Final = 0.5
"""A request counts as a reuse if the record found by the lookup covers at least this
share of its blocks."""
MAX_STORES_PER_RECORD: Final = 2
"""Maximum number of stores whose blocks a directory record lists."""

LOOKUP_TIMEOUT_SECONDS: Final = 0.05
PUBLISH_INTERVAL_SECONDS: Final = 0.1
PUBLISH_BATCH: Final = 64
"""Maximum number of updates per message."""
PUBLISH_BYTES_PER_SECOND: Final = 6000.0
"""Rate of the token bucket of an entry for updates to other zones."""
PUBLISH_BURST_BYTES: Final = 60_000.0
MAX_PUBLISH_QUEUE: Final = 10_000
"""Maximum number of queued updates to all destinations."""
HANDOVER_INTERVAL_SECONDS: Final = 1.0
HANDOVER_BATCH: Final = 200
"""Number of records handed over per step."""

MAX_LOOKUP_KEYS: Final = 2
"""Maximum number of directory keys per lookup or withdrawal; the deepest are used."""
UPDATE_OVERHEAD_BYTES: Final = 160
"""Approximate size of an update without the samples of its hash chain."""
HINT_LIFETIME_SECONDS: Final = 2.0
"""Age up to which an engine hint supplements a synchronized view."""

CACHE_EVENTS_WAIT_SECONDS: Final = 10.0
"""Long-polling time-out of a request for cache events."""
CACHE_POLL_INTERVAL_SECONDS: Final = 0.05
"""Pause between two polls for cache events."""
WATCH_INTERVAL_SECONDS: Final = 1.0
"""Interval at which the selection of watched engines is updated."""
CACHE_RETRY_SECONDS: Final = 0.5
"""Initial backoff after a failed read of cache events, and pause before the reload of a
view that is not synchronized."""
CACHE_MAX_RETRY_SECONDS: Final = 8.0
MAX_WATCHED_ENGINES: Final = 32
