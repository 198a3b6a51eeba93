"""Constants of the memory and disk tiers."""

from __future__ import annotations

from typing import Final

PRIOR_REUSE_SHARE: Final = 0.5
"""Reuse probability assumed for a customer without requests."""
PRIOR_REQUESTS: Final = 4.0
"""Number of requests that the assumed reuse probability counts as."""
REUSE_DECAY: Final = 0.995
"""Factor by which a new observation reduces the weight of earlier ones."""
INTERVAL_BUCKETS: Final = 24
"""Number of histogram buckets; each bucket ends at twice the previous end."""
FIRST_BUCKET_START_SECONDS: Final = 1.0
"""Start of the first histogram bucket; shorter intervals count as this long."""

MIN_EXPORT_BLOCKS: Final = 1
MAX_EXPORT_BLOCKS_PER_CALL: Final = 32
EXPORT_LIFETIME_SECONDS: Final = 60.0
"""Time in the queue after which an export is dropped."""
MAX_QUEUED_EXPORTS: Final = 256
MAX_RUNNING_EXPORTS: Final = 2
EXPORT_INTERVAL_SECONDS: Final = 0.05
EXPORT_TIMEOUT_SECONDS: Final = 30.0
IMPORT_RESERVE_SHARE: Final = 0.5
"""Share of the maximum link credit that is reserved for imports.

No export starts while the link credit is at or below this share.

The link credit is the number of bytes of a service that this entry may transfer
between engines and stores now.
"""
MAX_LINK_QUEUE_SECONDS: Final = 1.0
"""Queued work of a link above which no export starts."""

HIGH_WATERMARK: Final = 0.9
"""Share of the limit of a tier above which eviction starts."""
LOW_WATERMARK: Final = 0.8
"""Share of the limit of a tier at which eviction stops."""
MEMORY_ADMISSION_SHARE: Final = 0.7
"""Share of the memory limit up to which memory takes any export or promotion."""
PROMOTION_WINDOW_SECONDS: Final = 60.0
"""Time within which an export has to have been used, and has to be likely to be reused,
to be promoted. A reuse within this time also counts as early in the choice of the tier
of a new export."""
IMPORT_WEIGHT: Final = 3.0
"""For eviction, the idle time of an export is divided by one plus this weight times the
number of its imports, of which at most three count."""

STORE_POLL_INTERVAL_SECONDS: Final = 0.5
POLLS_PER_LISTING: Final = 10
"""Number of load polls of a store per listing of its contents."""
STORE_TIMEOUT_SECONDS: Final = 1.0
HOLD_TIMEOUT_SECONDS: Final = 0.3
MAX_HOLD_SECONDS: Final = 60.0
"""Maximum duration of a hold on blocks that an engine is about to import."""
MAX_REMEMBERED_LOOKUPS: Final = 4096
REPORT_LIFETIME_SECONDS: Final = 5.0
"""Age up to which a store report is used."""
MAX_BLOCKS_PER_STORE_CALL: Final = 512
"""Maximum number of block names per call to free or move blocks."""
FIND_TIMEOUT_SECONDS: Final = 0.1
DIRECTORY_RECOVERY_SECONDS: Final = 600.0
"""Period after a start or the loss of an entry in which lookups also search the store
listings."""

INITIAL_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 15.0
BACKOFF_JITTER_SHARE: Final = 0.3

DEFAULT_LINK_BYTES_PER_SECOND: Final = 20_000_000.0
"""Bandwidth assumed for a link without a report."""
