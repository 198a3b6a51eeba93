"""Queue of the calls on this VM that wait for the targets of one service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import NoTargetError
from gypsumsail.gateway.const import (
    MAX_QUEUE_LENGTH,
    QUEUE_INTERVAL_SECONDS,
    STOP_RETRY_SECONDS,
)
from gypsumsail.gateway.placement import (
    Forward,
    Placed,
    Placement,
    StopsTooSoon,
    Unplaceable,
)
from gypsumsail.gateway.queue_policy import (
    Capacity,
    QueuedCall,
    calls_to_shed,
    expected_wait,
    occupied_seconds,
    sort_by_priority,
)


class Placer(Protocol):
    """Places queued calls on targets."""

    def place(self, number: int, now: float) -> Placement:
        """Choose a target for a call and count the call there at once."""

    def capacity(self, now: float) -> Capacity:
        """Return the capacity that serves the queue."""

    def offered_load(self, now: float) -> float:
        """Return the offered load of the calls at this VM, in erlangs."""


@dataclass(slots=True)
class _QueueEntry:
    waiting: QueuedCall
    future: asyncio.Future[Placed | Forward]


class ServiceQueue:
    """Queue of one service; places calls in order as targets get capacity."""

    def __init__(self, placer: Placer, clock: Clock) -> None:
        self.placer = placer
        self.clock = clock
        self.entries: dict[int, _QueueEntry] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def async_place(self, waiting: QueuedCall) -> Placed | Forward:
        """Wait until the call is placed on a target, or is to be forwarded.

        Raises
        ------
        NoTargetError
            No target is eligible, the queue is full, or the call is not expected to
            be answered in time.
        """
        now = self.clock.monotonic()
        if not self.entries:
            placed = self.placer.place(waiting.number, now)
            if isinstance(placed, (Placed, Forward)):
                return placed
            if isinstance(placed, Unplaceable):
                raise NoTargetError(
                    "no target is eligible", retry_after=self.expected_wait(now)
                )
            if isinstance(placed, StopsTooSoon):
                raise _stops_too_soon()
        if len(self.entries) >= MAX_QUEUE_LENGTH:
            raise NoTargetError(
                "the queue is full", retry_after=self.expected_wait(now)
            )
        loop = asyncio.get_running_loop()
        entry = _QueueEntry(waiting, loop.create_future())
        self.entries[waiting.number] = entry
        self.dispatch()
        try:
            return await entry.future
        finally:
            self.entries.pop(waiting.number, None)

    @callback
    def dispatch(self) -> None:
        """Place calls on targets that have capacity, and shed calls where needed."""
        if not self.entries:
            return
        now = self.clock.monotonic()
        waiting = [
            entry.waiting for entry in self.entries.values() if not entry.future.done()
        ]
        ordered = sort_by_priority(waiting, now)
        left = [call for call in ordered if not self._try_place(call, now)]
        capacity = self.placer.capacity(now)
        for shed in calls_to_shed(left, capacity, now):
            self._shed(shed.call.number, shed.expected_wait)
        if left and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(QUEUE_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.dispatch()

    def _try_place(self, call: QueuedCall, now: float) -> bool:
        placed = self.placer.place(call.number, now)
        match placed:
            case Placed() | Forward():
                self.entries.pop(call.number).future.set_result(placed)
                return True
            case Unplaceable():
                self._shed(call.number, self.expected_wait(now))
                return True
            case StopsTooSoon():
                self.entries.pop(call.number).future.set_exception(_stops_too_soon())
                return True
            case _:
                return False

    def _shed(self, number: int, expected_wait: float) -> None:
        entry = self.entries.pop(number)
        entry.future.set_exception(
            NoTargetError(
                "no target is expected to take the call in time",
                retry_after=expected_wait,
            )
        )

    def queued_work_seconds(self) -> float:
        """Return the total seconds for which queued calls are to occupy a worker."""
        return sum(occupied_seconds(entry.waiting) for entry in self.entries.values())

    def offered_load(self, now: float) -> float:
        """Return the offered load of the calls at this VM, in erlangs."""
        return self.placer.offered_load(now)

    def expected_wait(self, now: float) -> float:
        """Return the seconds until all queued calls are expected to be placed."""
        waiting = [entry.waiting for entry in self.entries.values()]
        return expected_wait(waiting, self.placer.capacity(now))


def _stops_too_soon() -> NoTargetError:
    return NoTargetError(
        "the VM exits before the call is expected to be answered",
        retry_after=STOP_RETRY_SECONDS,
    )
