"""Constants of the context directory."""

from __future__ import annotations

from typing import Final

BLOCK_BYTES: Final = 1024
"""Size of a prompt block in UTF-8 bytes."""
HASH_BYTES: Final = 16
BYTES_PER_TOKEN: Final = 4
TOKENS_PER_BLOCK: Final = BLOCK_BYTES // BYTES_PER_TOKEN
KV_BYTES_PER_TOKEN: Final = 256
"""Size of the key-value cache of one token in a store and on the link."""
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
"""Common share of the shorter prompt from which two prompts share a record."""
MIN_REUSE_SHARE: Final = 0.5
"""Share of known blocks from which a request counts as a reuse of a prompt."""
MAX_STORED_PER_RECORD: Final = 2

LOOKUP_TIMEOUT_SECONDS: Final = 0.05
PUBLISH_INTERVAL_SECONDS: Final = 0.1
PUBLISH_BATCH: Final = 64
PUBLISH_BYTES_PER_SECOND: Final = 6000.0
"""Rate of the token bucket of an entry for updates to other zones."""
PUBLISH_BURST_BYTES: Final = 60_000.0
MAX_PUBLISH_QUEUE: Final = 10_000
HANDOVER_INTERVAL_SECONDS: Final = 1.0
HANDOVER_BATCH: Final = 200

MAX_LOOKUP_KEYS: Final = 2
"""Number of directory keys per lookup or withdrawal, the deepest first."""
UPDATE_OVERHEAD_BYTES: Final = 160
"""Approximate size of an update without the samples of its hash chain."""
HINT_LIFETIME_SECONDS: Final = 2.0
"""Age up to which an engine hint supplements a synchronized view."""

CACHE_EVENTS_WAIT_SECONDS: Final = 10.0
"""Long-polling time-out of a request for cache events."""
CACHE_POLL_INTERVAL_SECONDS: Final = 0.05
"""Pause between two polls for cache events."""
WATCH_INTERVAL_SECONDS: Final = 1.0
CACHE_RETRY_SECONDS: Final = 0.5
"""Initial backoff after a failed read of cache events."""
CACHE_MAX_RETRY_SECONDS: Final = 8.0
MAX_WATCHED_ENGINES: Final = 32
