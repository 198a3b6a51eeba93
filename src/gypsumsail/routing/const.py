"""Constants of routing."""

from __future__ import annotations

from typing import Final

DEFAULT_POLICY: Final = "expected-first-token"

DEFAULT_PREFILL_TOKENS_PER_SECOND: Final = 8_000.0
MIN_OBSERVED_TOKENS: Final = 512
"""Minimum number of tokens in an observation of the prefill speed."""
DEFAULT_DECODE_STEP_SECONDS: Final = 0.02
DEFAULT_LINK_BYTES_PER_SECOND: Final = 50_000_000.0

RATE_HALF_LIFE_SECONDS: Final = 60.0
RATE_PRIOR_SECONDS: Final = 0.5
"""Weight of the assumed rate, as seconds of observations."""

SAME_ZONE_ROUND_TRIP_SECONDS: Final = 0.0005
"""Round-trip time to an engine in the entry's zone."""
OTHER_ZONE_ROUND_TRIP_SECONDS: Final = 0.003
"""Round-trip time to an engine in another zone."""

UNSEEN_WORK_PER_STALE_SECOND: Final = 0.1
"""Seconds of work that may have arrived unseen per second of report age."""
MIN_TEMPERATURE_SECONDS: Final = 0.002
"""Minimum softmax temperature when a plan is sampled by its weighted cost."""

MIN_RETRY_AFTER_SECONDS: Final = 0.25
MAX_RETRY_AFTER_SECONDS: Final = 30.0
RETRY_JITTER_SHARE: Final = 0.5

PRIORITY_LEVELS: Final = 10
"""Number of priorities, from 0, the most urgent, to 9."""
PRIORITY_DECAY: Final = 0.999
"""Factor by which earlier prompt tokens count less with each request sent."""
PEER_WORK_LIFETIME_SECONDS: Final = 10.0
"""Age above which a peer's work is ignored on arrival.

Work that is older than newly arrived work of a peer by more than this is dropped.
"""
NO_REPORT_AGE_SECONDS: Final = 1.0
"""Report age that is assumed for an engine without a report."""

BROADCAST_INTERVAL_SECONDS: Final = 0.1
MAX_PENDING_CHOICES: Final = 200
"""Number of choices kept for the next broadcast; older ones are dropped."""
MAX_BROADCAST_PEERS: Final = 16
"""Number of peers above which choices are not broadcast."""

MAX_CANDIDATES: Final = 16
"""Maximum number of engines that are considered for a request."""

ANSWER_DECAY: Final = 0.98
"""Factor by which earlier answers of a customer count less with each new answer."""
ANSWER_PRIOR_REQUESTS: Final = 1.0
"""Weight of the initial assumption that answers reach ``max_tokens``, in requests."""
