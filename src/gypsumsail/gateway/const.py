"""Limits, weights and times of the gateway."""

from __future__ import annotations

from typing import Final

INITIAL_PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
"""Speed of reading prompts that is assumed until answers have shown one."""
PREFILL_RATE_WEIGHT: Final = 0.05
"""Weight of one observation of the reading speed in its moving average."""
MIN_PREFILL_SAMPLE_TOKENS: Final = 1_000
"""Prompt tokens below which an observation says little of the reading speed."""
USABLE_MEMORY_SHARE: Final = 0.92
"""Share of an engine's memory that runs may take; the rest absorbs late reports."""
PREFILL_BACKLOG_SHARE: Final = 0.5
"""Unread prompt work of an engine, as a part of a call's aim, above which it waits."""
ENGINE_PRIORITY: Final = 5
"""Rank of all prompts at engines; a higher one would push others out of the memory."""
MAX_CALLS_PER_SLOT: Final = 1.5
"""Calls at a plain target, per slot, above which calls wait here."""
MAX_CALLS_PER_SLOT_LATE: Final = 1.0
"""The same for calls that are late already."""
LATE_WAIT_SHARE: Final = 0.25
"""Part of the time between its aim and its end for which a late call may wait."""
MIN_LATE_CAPACITY_SHARE: Final = 0.3
"""Least part of the targets that late calls are taken to get beside new ones."""
ARRIVAL_DECAY_SECONDS: Final = 4.0
"""Time in which the weight of an arrival in the rate of arrivals falls to 1/e."""
RETRY_RESERVE_SHARE: Final = 0.25
"""Part of a call's time that is left to it when it is turned away."""
FETCH_TOKENS_PER_SECOND: Final = 400_000.0
"""Speed at which kept context is taken to come to an engine."""
FETCH_COST_SECONDS_PER_TOKEN: Final = 4e-6
"""Delay that the use of links is taken to cost, for each token moved."""
STEP_SECONDS_PER_RUN: Final = 0.002
"""Delay that each running generation is taken to add to a start."""
OTHER_ZONE_COST_SECONDS: Final = 0.003
"""Delay added for a target in another availability zone."""

CONNECT_SECONDS: Final = 0.35
"""Time for a connection to a target; two tries of the opening packet in a zone."""
MIN_BLOCK_SECONDS: Final = 0.5
"""Time for which a target that can't be connected gets no call."""
MAX_BLOCK_SECONDS: Final = 4.0
"""Longest time for which a target that can't be connected gets no call."""
FAILURE_DECAY_SECONDS: Final = 6.0
"""Time in which the weight of an earlier result of a target falls to 1/e."""
FAILURE_COST_SECONDS: Final = 1.0
"""Delay that a target that fails each call is taken to add."""
CHECK_VALID_SECONDS: Final = 0.5
"""Time for which a connection that opened shows that a target lives."""
REACHABILITY_POLL_SECONDS: Final = 0.2
"""Pause between two looks of a waiting call at whether its target was lost."""
UNREACHABLE_MIN_REPORTS: Final = 2
"""Other VMs of the zone whose word blocks a target that this VM has not tried."""
UNREACHABLE_REPORT_MAX_AGE_SECONDS: Final = 1.5
"""Age above which another VM's word on an unreachable target is not believed."""
STALL_SECONDS: Final = 0.7
"""Silence of a target with calls, beyond what is expected, that marks it stalled."""
STALL_MIN_REPORTS: Final = 2
"""Other VMs whose word alone marks a target stalled; one VM may be cut off itself."""
STALL_COST_SECONDS: Final = 3.0
"""Delay that a stalled target is taken to add."""
INITIAL_PLAIN_SECONDS: Final = 0.1
"""Duration of a plain call that is assumed until answers have shown one."""
DURATION_WEIGHT: Final = 0.1
"""Weight of one answer in the moving average of durations."""

PEER_LOAD_MAX_AGE_SECONDS: Final = 1.5
"""Age above which a peer's account of its calls is not believed."""
REPORTED_LOAD_MAX_AGE_SECONDS: Final = 0.5
"""Age above which a target's own account of its load is not believed."""

TIMEOUT_MARGIN_SECONDS: Final = 0.08
"""Time after a call's end in which the target's own last word may still come."""
MIN_SERVICE_SECONDS: Final = 0.05
"""Time left below which a call can't be served any more."""
NO_TARGET_RETRY_SECONDS: Final = 1.0
"""Time after which another target may be listed where there is none; a few beats."""
INITIAL_RUN_SECONDS: Final = 0.5
"""Time that a generation is taken to hold an engine until answers have shown one."""
QUEUE_INTERVAL_SECONDS: Final = 0.02
"""Pause between two looks at the waiting calls."""
MAX_QUEUE_LENGTH: Final = 2_000
"""Calls that may wait on this VM for one service."""
MIN_RETRY_SECONDS: Final = 0.15
"""Least time left, beside the usual duration, for another target to be tried."""

RETRY_BUDGET_SHARE: Final = 0.6
"""Share of the allowed retries that is spent; the rest absorbs what peers can't see."""
MIN_RETRY_AFTER_SECONDS: Final = 0.1
"""Shortest time after which a refused caller is asked to come back."""
MAX_RETRY_AFTER_SECONDS: Final = 3.0
"""Longest time after which a refused caller is asked to come back."""
RETRY_AFTER_JITTER: Final = 0.5
"""Part of the time to come back that is drawn at random."""

OLD_WEIGHTS_AVOID_SECONDS: Final = 1.0
"""Age of a named version from which engines with an older one are avoided."""
OLD_WEIGHTS_COST_SECONDS: Final = 0.4
"""Delay that an engine with older weights is taken to add."""
OLD_WEIGHTS_REFUSED_SHARE: Final = 0.9
"""Share of the time for a rollout after which older weights take no call."""
MAX_LOADING_SECONDS: Final = 4.0
"""Longest time for which an engine is taken to load after an order was sent."""
REJECTION_PAUSE_SECONDS: Final = 0.5
"""Time for which a target that rejected a call gets no other."""

MIN_CACHED_PART_TOKENS: Final = 16
"""Tokens of the smallest part that an engine caches: one block."""
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Largest answer of a plain target."""
