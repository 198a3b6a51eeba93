"""Cost function, and choice of the candidate with the lowest cost that has capacity.

With long prompts, engines run out of memory and prefill capacity before they run out of
slots. Several VMs place calls on the same targets, and their load reports are some
hundred milliseconds old.

If all VMs of a large fleet chose the engine with the lowest cost, they would all choose
the same one until the next reports, and each engine in turn would be flooded. Costs
that differ by less than the work that a VM can't know of yet are no reason for a
choice, so each VM adds a random share of that work to the cost of each candidate.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from gypsumsail.gateway.const import (
    COST_STEP_SECONDS,
    FAILURE_COST_SECONDS,
    FETCH_COST_SECONDS_PER_TOKEN,
    FETCH_TOKENS_PER_SECOND,
    LONG_PREFILLS_COST_SHARE,
    MAX_CALLS_PER_SLOT,
    MAX_CALLS_PER_SLOT_LATE,
    OLD_WEIGHTS_COST_SECONDS,
    OTHER_ZONE_COST_SECONDS,
    PREFILL_BACKLOG_SHARE,
    STALL_COST_SECONDS,
    STEP_SECONDS_PER_GENERATION,
    USABLE_MEMORY_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A target that may serve a call, with its estimated state.

    Attributes
    ----------
    is_in_own_zone
        Whether the target is in the availability zone of this VM.
    slots
        Calls that the target works on at once.
    calls, tokens, pending_prefill_tokens
        Calls of all VMs at the target, the memory in tokens that they occupy and
        the prompt tokens that are still to be prefilled for them.
    memory_tokens
        Memory of an engine; 0 for a plain target.
    own_prefill_tokens
        Prompt tokens of the call that the target would prefill.
    fetch_tokens
        Prompt tokens of the call that the target would fetch from elsewhere.
    usual_seconds
        Average duration of a call at the target.
    failure_share
        Share of recent calls that the target failed, from 0 to 1.
    has_avoided_weights
        Whether the target has older weights and should be avoided.
    is_reserved
        Whether an engine is meant for short prompts, and the call has a long one.
    has_long_prefills
        Whether an engine is meant for long prompts, and the call has a short one.
    draw
        Random number, uniform from 0 to 1.
    """

    name: str
    is_in_own_zone: bool
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
    has_avoided_weights: bool
    is_reserved: bool = False
    has_long_prefills: bool = False
    draw: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Resources that a call needs at its target.

    Attributes
    ----------
    tokens
        Memory that a generation occupies; 0 for a plain call.
    latency_goal_seconds
        Seconds after the call's arrival within which the first token is on time.
    is_late
        Whether the call can't be on time any more. It is then placed only on an
        engine without a prefill backlog or a plain target with a free slot.
    unseen_seconds
        Seconds of work that other VMs have probably given to each target since their
        last reports.
    """

    tokens: int
    prefill_tokens_per_second: float
    latency_goal_seconds: float
    is_late: bool = False
    unseen_seconds: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Placed:
    """The call is placed on a target now.

    Attributes
    ----------
    answer_delay
        Seconds until the first token, or the end of a plain call, is expected.
    """

    name: str
    answer_delay: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """No target has capacity now, and the call stays in the queue."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unplaceable:
    """No listed target may serve the call, now or later."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopsTooSoon:
    """The VM exits before the call is expected to be answered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Another VM, by its host, serves the call."""

    host: str


Placement = Placed | Forward | Wait | Unplaceable | StopsTooSoon


def answer_delay(candidate: Candidate, demand: Demand) -> float:
    """Return the expected seconds to the first token, or to a plain call's end."""
    if candidate.memory_tokens:
        work = (
            candidate.pending_prefill_tokens + candidate.own_prefill_tokens
        ) / demand.prefill_tokens_per_second
        work += candidate.fetch_tokens / FETCH_TOKENS_PER_SECOND
        return work + candidate.calls * STEP_SECONDS_PER_GENERATION
    # Each full set of slots ahead of the call adds one duration. In addition, a call is
    # assumed to be slowed by 20 % of its duration for each call per slot.
    rounds = candidate.calls // max(candidate.slots, 1)
    calls_per_slot = candidate.calls / max(candidate.slots, 1)
    return candidate.usual_seconds * (1 + rounds + 0.2 * calls_per_slot)


def cost(candidate: Candidate, demand: Demand) -> float:
    """Return the cost of placing the call on a candidate, in seconds of delay."""
    total = answer_delay(candidate, demand)
    total += candidate.fetch_tokens * FETCH_COST_SECONDS_PER_TOKEN
    total += candidate.failure_share * FAILURE_COST_SECONDS
    if not candidate.is_in_own_zone:
        total += OTHER_ZONE_COST_SECONDS
    if candidate.is_stalled:
        total += STALL_COST_SECONDS
    if candidate.has_avoided_weights:
        total += OLD_WEIGHTS_COST_SECONDS
    if candidate.has_long_prefills:
        total += demand.latency_goal_seconds * LONG_PREFILLS_COST_SHARE
    return total


def has_room(candidate: Candidate, demand: Demand) -> bool:
    """Return whether a candidate has capacity for one more call."""
    if not candidate.memory_tokens:
        share = MAX_CALLS_PER_SLOT_LATE if demand.is_late else MAX_CALLS_PER_SLOT
        return candidate.calls < candidate.slots * share
    if not candidate.calls:
        return True
    if candidate.is_reserved:
        return False
    full = (
        candidate.tokens + demand.tokens > candidate.memory_tokens * USABLE_MEMORY_SHARE
    )
    max_backlog_seconds = (
        0.0 if demand.is_late else demand.latency_goal_seconds * PREFILL_BACKLOG_SHARE
    )
    has_backlog = (
        candidate.pending_prefill_tokens
        > max_backlog_seconds * demand.prefill_tokens_per_second
    )
    return not full and not has_backlog and candidate.calls < candidate.slots


def _rank(candidate: Candidate, demand: Demand) -> tuple[float, float, str]:
    """Return the sort key of a candidate; the lowest is the best.

    Durations of plain calls vary, so small differences between plain targets are no
    reason to give all calls to one of them.
    """
    total = cost(candidate, demand) + candidate.draw * demand.unseen_seconds
    if candidate.memory_tokens:
        return total, 0.0, candidate.name
    return round(total / COST_STEP_SECONDS), candidate.draw, candidate.name


def place(candidates: Sequence[Candidate], demand: Demand) -> Placed | Wait:
    """Return the candidate with the lowest cost among those with capacity."""
    free = [item for item in candidates if has_room(item, demand)]
    if not free:
        return Wait()
    best = min(free, key=partial(_rank, demand=demand))
    return Placed(name=best.name, answer_delay=answer_delay(best, demand))
