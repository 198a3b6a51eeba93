"""Chooses the target of a call, or lets it wait.

Answers the load in which long prompts fill the memory of all engines at once:
memory and unread prompt work bind before slots do, and several VMs place calls on
the same targets with reports that are some hundred milliseconds old.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.gateway.const import (
    FAILURE_COST_SECONDS,
    FETCH_COST_SECONDS_PER_TOKEN,
    FETCH_TOKENS_PER_SECOND,
    MAX_CALLS_PER_SLOT,
    MAX_CALLS_PER_SLOT_LATE,
    OLD_WEIGHTS_COST_SECONDS,
    OTHER_ZONE_COST_SECONDS,
    PREFILL_BACKLOG_SHARE,
    STALL_COST_SECONDS,
    STEP_SECONDS_PER_RUN,
    USABLE_MEMORY_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A target that may take a call, and what is believed of it.

    Attributes
    ----------
    slots
        Calls that it works on at once.
    calls, tokens, pending_prefill_tokens
        Calls there of all VMs, the memory that they take and the prompt tokens
        that they wait to have read.
    memory_tokens
        0 for a plain target.
    own_prefill_tokens
        Prompt tokens of the call itself that it would have to read.
    fetch_tokens
        Prompt tokens of the call that it would fetch from elsewhere.
    usual_seconds
        Duration of a plain call there.
    """

    name: str
    is_local: bool
    slots: int
    calls: int
    tokens: int
    pending_prefill_tokens: int
    memory_tokens: int
    own_prefill_tokens: int
    fetch_tokens: int
    usual_seconds: float
    failure_share: float
    is_stalled: bool
    has_old_weights: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What a call asks of its target.

    Attributes
    ----------
    tokens
        Memory of a generation; 0 for a plain call.
    latency_goal_seconds
        Time from the call's arrival in which its first token is in time.
    is_late
        Whether the call can't be in time any more; it gets only what others leave.
    """

    tokens: int
    prefill_tokens_per_second: float
    latency_goal_seconds: float
    is_late: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Placed:
    """The call goes to a target now.

    Attributes
    ----------
    start_delay
        Seconds until its first token or the end of a plain call is expected.
    """

    name: str
    start_delay: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """No target has room now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unplaceable:
    """No target is left that could ever take the call."""


Placement = Placed | Wait | Unplaceable


def start_delay(candidate: Candidate, demand: Demand) -> float:
    """Return the seconds until the call's first token, or a plain call's end."""
    if candidate.memory_tokens:
        work = (
            candidate.pending_prefill_tokens + candidate.own_prefill_tokens
        ) / demand.prefill_tokens_per_second
        work += candidate.fetch_tokens / FETCH_TOKENS_PER_SECOND
        return work + candidate.calls * STEP_SECONDS_PER_RUN
    rounds = candidate.calls // max(candidate.slots, 1)
    crowding = candidate.calls / max(candidate.slots, 1)
    return candidate.usual_seconds * (1 + rounds + 0.2 * crowding)


def cost(candidate: Candidate, demand: Demand) -> float:
    """Return what placing the call there is taken to cost, in seconds."""
    total = start_delay(candidate, demand)
    total += candidate.fetch_tokens * FETCH_COST_SECONDS_PER_TOKEN
    total += candidate.failure_share * FAILURE_COST_SECONDS
    if not candidate.is_local:
        total += OTHER_ZONE_COST_SECONDS
    if candidate.is_stalled:
        total += STALL_COST_SECONDS
    if candidate.has_old_weights:
        total += OLD_WEIGHTS_COST_SECONDS
    return total


def has_room(candidate: Candidate, demand: Demand) -> bool:
    """Return whether a call may be sent there without piling up."""
    if not candidate.memory_tokens:
        share = MAX_CALLS_PER_SLOT_LATE if demand.is_late else MAX_CALLS_PER_SLOT
        return candidate.calls < candidate.slots * share
    if not candidate.calls:
        return True
    full = (
        candidate.tokens + demand.tokens > candidate.memory_tokens * USABLE_MEMORY_SHARE
    )
    tokens_ahead = (
        0.0 if demand.is_late else demand.latency_goal_seconds * PREFILL_BACKLOG_SHARE
    )
    behind = (
        candidate.pending_prefill_tokens
        > tokens_ahead * demand.prefill_tokens_per_second
    )
    return not full and not behind and candidate.calls < candidate.slots


def place(candidates: Sequence[Candidate], demand: Demand) -> Placed | Wait:
    """Return the target that is expected to begin first, among those with room."""
    free = [item for item in candidates if has_room(item, demand)]
    if not free:
        return Wait()
    best = min(free, key=lambda item: (cost(item, demand), item.name))
    return Placed(name=best.name, start_delay=start_delay(best, demand))
