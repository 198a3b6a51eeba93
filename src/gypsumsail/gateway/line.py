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
    COMEBACK_SHARE,
    LATE_PATIENCE_SHARE,
    LEAST_ROOM_SHARE,
    LEAST_SERVICE_SECONDS,
    NO_TARGET_SECONDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A call that waits for a target.

    Attributes
    ----------
    aim_at
        Time until which its first token, or a plain call's answer, is on time.
    ends_at
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
    urgency: int
    arrived_at: float
    aim_at: float
    ends_at: float
    work_seconds: float
    occupied_seconds: float = 0.0
    was_sent: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class TurnedAway:
    """A waiting call that is not served.

    Attributes
    ----------
    free_in
        Seconds after which it is expected to be served, if it comes back then.
    """

    call: Waiting
    free_in: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """What works on the calls of a line.

    Attributes
    ----------
    workers
        Calls or prompts that are worked on at once, of all targets.
    backlog_seconds
        Time until the next of them is expected to be free.
    elsewhere_seconds
        Work that waits on other VMs for the same targets.
    arriving
        Workers that the calls which arrive now would keep busy, of all VMs.
    """

    workers: float
    backlog_seconds: float
    elsewhere_seconds: float
    arriving: float = 0.0


def is_late(call: Waiting, now: float) -> bool:
    """Return whether a call can't be on time even if it is placed now."""
    return now + call.work_seconds > call.aim_at


def order_key(call: Waiting, now: float) -> tuple[bool, int, float, int]:
    """Return the place of a call in the line; the smallest goes first."""
    yields = is_late(call, now) and not call.was_sent
    return (yields, call.urgency, call.aim_at, call.number)


def in_order(calls: Iterable[Waiting], now: float) -> list[Waiting]:
    """Return the calls in the order in which they are placed."""
    return sorted(calls, key=lambda call: order_key(call, now))


def expected_starts(
    ordered: Sequence[Waiting], capacity: Capacity, now: float
) -> list[float]:
    """Return when each call of an ordered line is expected to be placed.

    Calls of other VMs are taken to be placed evenly between those of this one. A call
    that will be late waits for those that arrive meanwhile as well.
    """
    workers = max(capacity.workers, 1.0)
    room = max(1.0 - capacity.arriving / workers, LEAST_ROOM_SHARE)
    own = sum(occupied(call) for call in ordered)
    slowdown = (own + capacity.elsewhere_seconds) / own if own else 1.0
    starts = []
    at = now + capacity.backlog_seconds
    for call in ordered:
        will_be_late = at + call.work_seconds > call.aim_at
        yields = will_be_late and not call.was_sent
        starts.append(now + (at - now) / room if yields else at)
        at += occupied(call) * slowdown / workers
    return starts


def occupied(call: Waiting) -> float:
    """Return the time for which a call takes all that one target has."""
    return max(call.occupied_seconds, call.work_seconds)


def free_in(ordered: Sequence[Waiting], capacity: Capacity) -> float:
    """Return the seconds until all that waits now is expected to be placed."""
    if not capacity.workers:
        return NO_TARGET_SECONDS
    waiting = sum(occupied(call) for call in ordered) + capacity.elsewhere_seconds
    return capacity.backlog_seconds + waiting / max(capacity.workers, 1.0)


def hopeless(
    ordered: Sequence[Waiting], capacity: Capacity, now: float
) -> list[TurnedAway]:
    """Return the calls that are turned away, as their turn comes too late."""
    if not capacity.workers:
        return [TurnedAway(call=call, free_in=NO_TARGET_SECONDS) for call in ordered]
    starts = expected_starts(ordered, capacity, now)
    return [
        TurnedAway(call=call, free_in=start - now)
        for call, start in zip(ordered, starts, strict=True)
        if now >= late_until(call) or start + call.work_seconds > begins_by(call)
    ]


def late_until(call: Waiting) -> float:
    """Return the time until which a call waits though it is late."""
    if call.was_sent:
        return call.ends_at
    patience = (call.ends_at - call.aim_at) * LATE_PATIENCE_SHARE
    return max(call.aim_at, call.arrived_at) + max(patience, 0.0)


def begins_by(call: Waiting) -> float:
    """Return the time by which a call has to begin, or is turned away before."""
    if call.was_sent:
        return call.ends_at - LEAST_SERVICE_SECONDS
    span = call.ends_at - call.arrived_at
    return call.ends_at - span * COMEBACK_SHARE - LEAST_SERVICE_SECONDS
