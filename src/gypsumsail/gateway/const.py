"""Limits, cost factors and timeouts of the gateway.

Costs are in seconds of delay; placement picks the target with the lowest sum.
"""

from __future__ import annotations

from typing import Final

INITIAL_PREFILL_TOKENS_PER_SECOND: Final = 20_000.0
"""Prefill speed of an engine that is assumed until answers have been measured.

An assumption that is too high fills slow engines with a backlog when an overload begins
before the first answers.
"""
PREFILL_RATE_SMOOTHING: Final = 0.05
"""Smallest share of a new sample in the average of the prefill speed.

The assumed speed and the first samples are averaged with equal weights.
"""
MIN_PREFILL_SAMPLE_TOKENS: Final = 1_000
"""Prompt tokens below which a sample of the prefill speed is too noisy to use."""
USABLE_MEMORY_SHARE: Final = 0.92
"""Share of an engine's memory that is filled; the rest is a margin for old reports."""
PREFILL_BACKLOG_SHARE: Final = 0.5
"""Largest prefill backlog of an engine, as a share of a call's latency goal."""
ENGINE_PRIORITY: Final = 5
"""Priority sent with every prompt, whatever the priority of its route.

With different priorities, engines would evict long prompts for more urgent short ones
and then prefill the long ones again.
"""
MAX_CALLS_PER_SLOT: Final = 1.5
"""Calls per slot from which a plain target gets no more; others wait on the VM."""
MAX_CALLS_PER_SLOT_LATE: Final = 1.0
"""The same limit for calls that are already late."""
LATE_WAIT_SHARE: Final = 0.25
"""Share of the time from due time to deadline for which a late call is queued."""
MIN_LATE_CAPACITY_SHARE: Final = 0.3
"""Smallest share of the targets that is assumed to remain for late calls."""
ARRIVAL_DECAY_SECONDS: Final = 4.0
"""Time in which the weight of an arrival in the arrival rate falls to 1/e."""
RETRY_RESERVE_SHARE: Final = 0.25
"""Share of a call's time that remains for a retry when the call is shed."""
FETCH_TOKENS_PER_SECOND: Final = 400_000.0
"""Assumed speed at which an engine fetches cached context from elsewhere."""
FETCH_COST_SECONDS_PER_TOKEN: Final = 4e-6
"""Assumed cost of the use of links, for each token that is fetched."""
STEP_SECONDS_PER_GENERATION: Final = 0.002
"""Delay that each running generation is assumed to add to a first token."""
OTHER_ZONE_COST_SECONDS: Final = 0.003
"""Cost of a target in another availability zone."""
LONG_PREFILLS_COST_SHARE: Final = 0.5
"""Cost of an engine for long prompts to a short one, as a share of its latency goal."""
COST_STEP_SECONDS: Final = 0.001
"""Differences of cost below it are no reason to prefer a plain target."""

CONNECT_SECONDS: Final = 0.35
"""Timeout for connecting to a target.

It is meant to allow for one repeated SYN packet within a zone, which requires an
initial retransmission timeout below this value.
"""
LIFE_CHECK_SECONDS: Final = 1.0
"""Time limit for a target to show that it still runs, after it closed a connection."""
MIN_BLOCK_SECONDS: Final = 0.5
"""First pause in sending calls to a target after a failed connection attempt."""
MAX_BLOCK_SECONDS: Final = 4.0
"""Longest pause; it doubles with each failed connection attempt up to this value."""
FAILURE_DECAY_SECONDS: Final = 6.0
"""Time in which the weight of an earlier result of a target falls to 1/e."""
FAILURE_COST_SECONDS: Final = 1.0
"""Cost of a target that fails every call."""
CHECK_VALID_SECONDS: Final = 0.5
"""Time for which an opened connection counts as proof that a target is alive."""
REACHABILITY_POLL_SECONDS: Final = 0.2
"""Interval at which a call in flight checks whether its target is unreachable."""
UNREACHABLE_MIN_REPORTS: Final = 2
"""Reports of other VMs in the zone after which this VM checks a target itself.

It does so only if it has had no contact with the target since the oldest of them.
"""
UNREACHABLE_REPORT_MAX_AGE_SECONDS: Final = 1.5
"""Age above which another VM's report of an unreachable target is ignored."""
STALL_SECONDS: Final = 0.7
"""Time without progress, beyond the expected time, after which a target is stalled.

It is also the time within which a stream is expected to continue. Half of it is the
smallest time allowed for the first token, and the shortest interval of checks.
"""
STALL_MIN_REPORTS: Final = 2
"""Other VMs whose reports mark a target stalled; one VM alone may be partitioned."""
STALL_COST_SECONDS: Final = 3.0
"""Cost of a stalled target."""
INITIAL_CALL_SECONDS: Final = 0.1
"""Average duration of a call at a target, assumed until answers have been measured."""
DURATION_SMOOTHING: Final = 0.1
"""Smallest share of a new answer in the moving average of durations."""
DURATION_DECAY_SECONDS: Final = 5.0
"""Time without an answer in which the weight of a target's durations falls to 1/e."""

PEER_LOAD_MAX_AGE_SECONDS: Final = 1.5
"""Age above which a peer's report of its calls is ignored."""
REPORTED_LOAD_MAX_AGE_SECONDS: Final = 0.5
"""Age above which a target's own report of its load is ignored."""

FORWARD_TIMEOUT_MARGIN_SECONDS: Final = 0.1
"""Further time in which a helper's answer to a call at its deadline may arrive."""
TIMEOUT_MARGIN_SECONDS: Final = 0.08
"""Time after a call's deadline in which the target's own timeout answer may arrive."""
MIN_SERVICE_SECONDS: Final = 0.05
"""Time to the deadline below which a call can't be served any more."""
NO_TARGET_RETRY_SECONDS: Final = 1.0
"""Retry delay where no target is listed; one may be listed within a few heartbeats."""
INITIAL_GENERATION_SECONDS: Final = 0.5
"""Time for which a generation occupies an engine, assumed until one is measured."""
REMEMBERED_ANSWERS: Final = 100
"""Latest answers of a route from which the time of the next one is expected."""
STOP_MARGIN_SECONDS: Final = 0.2
"""Time by which an answer is expected before the exit of a VM that stops."""
STOP_RETRY_SECONDS: Final = 0.1
"""Retry delay of a call that a VM refuses because it stops; others can serve it."""
QUEUE_INTERVAL_SECONDS: Final = 0.02
"""Interval at which queued calls are dispatched."""
MAX_QUEUE_LENGTH: Final = 2_000
"""Calls of one service that may be queued on this VM."""
MIN_TIME_FOR_RETRY_SECONDS: Final = 0.15
"""Time, beyond the expected work, that must remain for a retry at another target."""

RETRY_BUDGET_SHARE: Final = 0.6
"""Share of the allowed retries that is used.

The rest is a margin, because a VM does not see the calls and retries of its peers.
"""
HEDGE_BUDGET_SHARE: Final = 0.5
"""Share of the budget left by real retries that second sends of slow calls may use."""
MIN_RETRY_AFTER_SECONDS: Final = 0.1
"""Shortest delay that a refused caller is told in ``Retry-After``."""
MAX_RETRY_AFTER_SECONDS: Final = 3.0
"""Longest delay that a refused caller is told in ``Retry-After``."""
RETRY_AFTER_JITTER: Final = 0.5
"""Width of the random spread of the retry delay, as a share of the delay."""

OLD_WEIGHTS_AVOID_SECONDS: Final = 1.0
"""Time since the first sight of a version after which older ones are avoided."""
OLD_WEIGHTS_COST_SECONDS: Final = 0.4
"""Cost of an engine with older weights."""
OLD_WEIGHTS_REFUSED_SHARE: Final = 0.9
"""Share of the rollout time after which engines with older weights get no calls."""
MAX_LOADING_SECONDS: Final = 4.0
"""Longest time for which an engine is assumed to load weights that were ordered."""
DEFAULT_PAUSE_SECONDS: Final = 1.0
"""Pause of a target that asks for one without a valid number of seconds."""
PAUSE_SPREAD_SHARE: Final = 0.2
"""Largest random extension of a pause, as a share of it."""
MAX_PAUSE_SPREAD_SECONDS: Final = 1.0
"""Largest random extension of a pause."""
RETURN_INTERVAL_SECONDS: Final = 1.0
"""Interval of the calls to a target after its pause, until it answers one."""
WARM_TOGETHER_SECONDS: Final = 1.0
"""Time after the first cold target is warm in which others count as warm with it."""
DEFAULT_TIMEOUT_SECONDS: Final = 60.0
"""Timeout of a call whose route sets none.

An earlier deadline of the caller still applies.
"""
MAX_REMEMBERED_LEAVING: Final = 1_024
"""Targets that said that they leave and are remembered when they are not listed."""
MAX_REMEMBERED_LIMITS: Final = 2_048
"""Targets from which on the limits of those that are not listed are forgotten."""
MIN_LIMIT_CALLS_PER_SECOND: Final = 0.1
"""Lowest limit of a target that is kept to; only a call can find out that it ended."""
MAX_LIMIT_SLOTS_PER_VM: Final = 8.0
"""Slots per second and VM into which the limit of a target is divided at most.

A higher limit allows several calls in each slot.
"""
SLOT_EXPIRY_SECONDS: Final = 1.0
"""Time for which a slot may still be used.

Together with `SLOT_EXPIRY_CALLS`, it bounds the calls in 4 s to five times the calls
per second and three more.
"""
SLOT_EXPIRY_CALLS: Final = 2.0
"""Additional time for which a slot may be used, in calls at the rate of the limit."""
MAX_SCANNED_SLOTS: Final = 200
"""Slots that are scanned for the next one of this VM."""
MAX_CLOCK_STEP_SECONDS: Final = 10.0
"""Largest step back of the wall clock over which used slots are remembered."""
RECENT_SENDS_SECONDS: Final = 4.0
"""Time over which the calls that a VM places on a target are counted for the log."""
REJECTION_PAUSE_SECONDS: Final = 0.5
"""Time for which a target that rejected a call gets no other."""

MIN_CACHED_PART_TOKENS: Final = 16
"""Tokens of the smallest prompt part that an engine caches: one block."""
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Largest answer of a plain target."""
