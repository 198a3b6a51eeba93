"""Queue order and load shedding.

Calls that can still be on time are placed before calls that can't, so that an overload
makes some calls late instead of delaying every call a little. Among the calls that can
be on time, the order is by priority and then by due time.

A call is shed while its caller still has time to retry, if its first token or plain
answer is not expected in time or the call has been late for long. A call that was sent
and lost by a target is kept in the queue: it may have run, so its caller can't be told
that it has not.

Calls that arrive later are placed before late calls. The expected start of a late call
allows for them, so that it is shed on arrival in a lasting overload.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from gypsumsail.gateway.const import (
    LATE_WAIT_SHARE,
    MIN_LATE_CAPACITY_SHARE,
    MIN_SERVICE_SECONDS,
    NO_TARGET_RETRY_SECONDS,
    RETRY_RESERVE_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuedCall:
    """A call in the queue.

    Attributes
    ----------
    due_at
        Time by which the first token, or a plain call's answer, is on time.
    deadline
        Time by which the caller gets its first event or a final answer, be it a
        failure; the caller of a stream does not wait longer than that.
    work_seconds
        Seconds that one target is expected to work before the first token, or on a
        whole plain call.
    memory_seconds
        The call's share of an engine's memory, multiplied by the seconds for which it
        is held; 0 for a plain call.
    may_have_run
        Whether any target may have run the call, so that the caller can't be told to
        retry.
    """

    number: int
    priority: int
    arrived_at: float
    due_at: float
    deadline: float
    work_seconds: float
    memory_seconds: float = 0.0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShedCall:
    """A queued call that is refused because of overload.

    Attributes
    ----------
    expected_wait
        Seconds after which the call was expected to be placed; the caller is told to
        retry then.
    """

    call: QueuedCall
    expected_wait: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Capacity that serves the calls of a queue.

    Attributes
    ----------
    workers
        Number of slots of all plain targets, or number of engines: an engine counts as
        one worker, because it prefills one prompt at a time.
    backlog_seconds
        Seconds until the next worker is expected to be free.
    peer_queued_work_seconds
        Seconds of work in the queues of the other VMs for the same targets.
    offered_load
        Offered load of the calls that arrive at all VMs, in erlangs.
    own_workers
        This VM's share, in workers, of cold targets and those with a limit. The calls
        of the other VMs don't take from it.
    when_warm
        Capacity once the first cold targets are warm, after its backlog; ``None`` if
        no target is cold.
    """

    workers: float
    backlog_seconds: float
    peer_queued_work_seconds: float
    offered_load: float = 0.0
    own_workers: float = 0.0
    when_warm: Capacity | None = None

    def has_workers(self) -> bool:
        """Return whether any target serves the queue now."""
        return self.workers > 0 or self.own_workers > 0

    def serves(self) -> bool:
        """Return whether any target serves the queue, now or once it is warm."""
        return self.has_workers() or self.when_warm is not None

    def workers_for(self, own_work_seconds: float) -> float:
        """Return the workers that serve the calls of this VM, if all VMs have calls.

        Parameters
        ----------
        own_work_seconds
            Seconds of work in the queue of this VM.
        """
        workers = self.workers if self.own_workers else max(self.workers, 1.0)
        if own_work_seconds:
            all_work_seconds = own_work_seconds + self.peer_queued_work_seconds
            workers *= own_work_seconds / all_work_seconds
        return workers + self.own_workers


def is_late(call: QueuedCall, now: float) -> bool:
    """Return whether a call can't be on time even if it is placed now."""
    return now + call.work_seconds > call.due_at


def priority_key(call: QueuedCall, now: float) -> tuple[bool, int, float, int]:
    """Return the sort key of a queued call; the smallest is placed first."""
    is_deferred = is_late(call, now) and not call.may_have_run
    return (is_deferred, call.priority, call.due_at, call.number)


def sort_by_priority(calls: Iterable[QueuedCall], now: float) -> list[QueuedCall]:
    """Return the calls in the order in which they are placed."""
    return sorted(calls, key=lambda call: priority_key(call, now))


def expected_starts(
    ordered: Sequence[QueuedCall], capacity: Capacity, now: float
) -> list[float]:
    """Return the time at which each call of a sorted queue is expected to be placed.

    The calls of other VMs are assumed to be spread evenly between those of this VM. A
    call that will be late also waits for the calls that arrive before its turn.

    While targets are cold, a call starts once they are warm if that is sooner.
    """
    if capacity.when_warm is None:
        return _expected_starts(ordered, capacity, now)
    warm_starts = _expected_starts(ordered, capacity.when_warm, now)
    if not capacity.has_workers():
        return warm_starts
    starts = _expected_starts(ordered, capacity, now)
    return list(map(min, starts, warm_starts))


def _expected_starts(
    ordered: Sequence[QueuedCall], capacity: Capacity, now: float
) -> list[float]:
    late_capacity_share = max(
        1.0 - capacity.offered_load / max(capacity.workers, 1.0),
        MIN_LATE_CAPACITY_SHARE,
    )
    workers = capacity.workers_for(sum(map(occupied_seconds, ordered)))
    starts = []
    at = now + capacity.backlog_seconds
    for call in ordered:
        will_be_late = at + call.work_seconds > call.due_at
        is_deferred = will_be_late and not call.may_have_run
        starts.append(now + (at - now) / late_capacity_share if is_deferred else at)
        at += occupied_seconds(call) / workers
    return starts


def occupied_seconds(call: QueuedCall) -> float:
    """Return the seconds for which a call is expected to keep one worker busy.

    It is the larger of ``work_seconds`` and ``memory_seconds``.
    """
    return max(call.memory_seconds, call.work_seconds)


def expected_wait(ordered: Sequence[QueuedCall], capacity: Capacity) -> float:
    """Return the seconds until all queued calls are expected to be placed."""
    if capacity.when_warm is not None:
        warm_wait = expected_wait(ordered, capacity.when_warm)
        if not capacity.has_workers():
            return warm_wait
        return min(warm_wait, expected_wait(ordered, replace(capacity, when_warm=None)))
    if not capacity.has_workers():
        return NO_TARGET_RETRY_SECONDS
    own = sum(map(occupied_seconds, ordered))
    if own or capacity.own_workers:
        return capacity.backlog_seconds + own / capacity.workers_for(own)
    waiting = capacity.peer_queued_work_seconds
    return capacity.backlog_seconds + waiting / max(capacity.workers, 1.0)


def calls_to_shed(
    ordered: Sequence[QueuedCall], capacity: Capacity, now: float
) -> list[ShedCall]:
    """Return the calls to refuse because they would be answered too late."""
    if not capacity.serves():
        return [
            ShedCall(call=call, expected_wait=NO_TARGET_RETRY_SECONDS)
            for call in ordered
        ]
    starts = expected_starts(ordered, capacity, now)
    return [
        ShedCall(call=call, expected_wait=start - now)
        for call, start in zip(ordered, starts, strict=True)
        if now >= late_wait_limit(call)
        or start + call.work_seconds > latest_first_answer(call)
    ]


def late_wait_limit(call: QueuedCall) -> float:
    """Return the time until which a late call stays in the queue."""
    if call.may_have_run:
        return call.deadline
    max_late_wait = (call.deadline - call.due_at) * LATE_WAIT_SHARE
    return max(call.due_at, call.arrived_at) + max(max_late_wait, 0.0)


def latest_first_answer(call: QueuedCall) -> float:
    """Return the latest time for the first token or plain answer.

    A call that is expected to have it later is shed.
    """
    if call.may_have_run:
        return call.deadline - MIN_SERVICE_SECONDS
    span = call.deadline - call.arrived_at
    return call.deadline - span * RETRY_RESERVE_SHARE - MIN_SERVICE_SECONDS
