"""Decides in which order waiting calls are placed and which are turned away.

Answers the load in which more arrives than the targets can begin in time. A call
that can still be on time goes before all that can't, so that an overload makes
some calls late instead of each a little; among those the more urgent go first, then
the earliest aim. A call whose turn is not expected in time, or that has been late for
long, is turned away while it still has time to come back; one that a target lost goes
on, as it may have run and its caller can't be told otherwise. What arrives meanwhile
goes before late calls, so that in a lasting overload they are turned away at once.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from gypsumsail.gateway.const import (
    LATE_WAIT_SHARE,
    MIN_LATE_CAPACITY_SHARE,
    MIN_SERVICE_SECONDS,
    NO_TARGET_RETRY_SECONDS,
    RETRY_RESERVE_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """A call that waits for a target.

    Attributes
    ----------
    due_at
        Time until which its first token, or a plain call's answer, is on time.
    deadline
        Time at which it gets its final answer whatever it is.
    work_seconds
        Time that one target is expected to spend before its first token, or on a
        plain call as a whole.
    occupied_seconds
        Time for which it takes all that one target has, as its reading or its
        memory, whichever is more.
    was_sent
        Whether a target lost it, so that the caller can't be told to come back.
    """

    number: int
    priority: int
    arrived_at: float
    due_at: float
    deadline: float
    work_seconds: float
    occupied_seconds: float = 0.0
    was_sent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShedCall:
    """A waiting call that is not served.

    Attributes
    ----------
    expected_wait
        Seconds after which it is expected to be served, if it comes back then.
    """

    call: QueuedCall
    expected_wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """What works on the calls of a line.

    Attributes
    ----------
    workers
        Calls or prompts that are worked on at once, of all targets.
    backlog_seconds
        Time until the next of them is expected to be free.
    remote_work_seconds
        Work that waits on other VMs for the same targets.
    offered_load
        Workers that the calls which arrive now would keep busy, of all VMs.
    """

    workers: float
    backlog_seconds: float
    remote_work_seconds: float
    offered_load: float = 0.0


def is_late(call: QueuedCall, now: float) -> bool:
    """Return whether a call can't be on time even if it is placed now."""
    return now + call.work_seconds > call.due_at


def priority_key(call: QueuedCall, now: float) -> tuple[bool, int, float, int]:
    """Return the place of a call in the line; the smallest goes first."""
    is_deferred = is_late(call, now) and not call.was_sent
    return (is_deferred, call.priority, call.due_at, call.number)


def sort_by_priority(calls: Iterable[QueuedCall], now: float) -> list[QueuedCall]:
    """Return the calls in the order in which they are placed."""
    return sorted(calls, key=lambda call: priority_key(call, now))


def expected_starts(
    ordered: Sequence[QueuedCall], capacity: Capacity, now: float
) -> list[float]:
    """Return when each call of an ordered line is expected to be placed.

    Calls of other VMs are taken to be placed evenly between those of this one. A call
    that will be late waits for those that arrive meanwhile as well.
    """
    workers = max(capacity.workers, 1.0)
    late_capacity_share = max(
        1.0 - capacity.offered_load / workers, MIN_LATE_CAPACITY_SHARE
    )
    own = sum(occupancy_seconds(call) for call in ordered)
    slowdown = (own + capacity.remote_work_seconds) / own if own else 1.0
    starts = []
    at = now + capacity.backlog_seconds
    for call in ordered:
        will_be_late = at + call.work_seconds > call.due_at
        is_deferred = will_be_late and not call.was_sent
        starts.append(now + (at - now) / late_capacity_share if is_deferred else at)
        at += occupancy_seconds(call) * slowdown / workers
    return starts


def occupancy_seconds(call: QueuedCall) -> float:
    """Return the time for which a call takes all that one target has."""
    return max(call.occupied_seconds, call.work_seconds)


def expected_wait(ordered: Sequence[QueuedCall], capacity: Capacity) -> float:
    """Return the seconds until all that waits now is expected to be placed."""
    if not capacity.workers:
        return NO_TARGET_RETRY_SECONDS
    waiting = (
        sum(occupancy_seconds(call) for call in ordered) + capacity.remote_work_seconds
    )
    return capacity.backlog_seconds + waiting / max(capacity.workers, 1.0)


def calls_to_shed(
    ordered: Sequence[QueuedCall], capacity: Capacity, now: float
) -> list[ShedCall]:
    """Return the calls that are turned away, as their turn comes too late."""
    if not capacity.workers:
        return [
            ShedCall(call=call, expected_wait=NO_TARGET_RETRY_SECONDS)
            for call in ordered
        ]
    starts = expected_starts(ordered, capacity, now)
    return [
        ShedCall(call=call, expected_wait=start - now)
        for call, start in zip(ordered, starts, strict=True)
        if now >= late_wait_limit(call)
        or start + call.work_seconds > latest_start(call)
    ]


def late_wait_limit(call: QueuedCall) -> float:
    """Return the time until which a call waits though it is late."""
    if call.was_sent:
        return call.deadline
    max_late_wait = (call.deadline - call.due_at) * LATE_WAIT_SHARE
    return max(call.due_at, call.arrived_at) + max(max_late_wait, 0.0)


def latest_start(call: QueuedCall) -> float:
    """Return the time by which a call has to begin, or is turned away before."""
    if call.was_sent:
        return call.deadline - MIN_SERVICE_SECONDS
    span = call.deadline - call.arrived_at
    return call.deadline - span * RETRY_RESERVE_SHARE - MIN_SERVICE_SECONDS
