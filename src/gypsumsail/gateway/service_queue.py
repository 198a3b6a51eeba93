"""Calls that wait on this VM for the targets of one service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import NoTargetError
from gypsumsail.gateway.const import MAX_QUEUE_LENGTH, QUEUE_INTERVAL_SECONDS
from gypsumsail.gateway.placement import Placed, Placement, Unplaceable
from gypsumsail.gateway.queue_policy import (
    Capacity,
    QueuedCall,
    calls_to_shed,
    expected_wait,
    occupancy_seconds,
    sort_by_priority,
)


class Placer(Protocol):
    """Finds a target for a waiting call."""

    def place(self, number: int, now: float) -> Placement:
        """Choose a target; the call counts as being there at once."""

    def capacity(self, now: float) -> Capacity:
        """Return what works on the calls of the line."""

    def offered_load(self, now: float) -> float:
        """Return the workers that the calls which arrive here would keep busy."""


@dataclass(slots=True)
class _QueueEntry:
    waiting: QueuedCall
    future: asyncio.Future[Placed]


class ServiceQueue:
    """Waiting calls of one service, placed in order as targets get room."""

    def __init__(self, placer: Placer, clock: Clock) -> None:
        self.placer = placer
        self.clock = clock
        self.entries: dict[int, _QueueEntry] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def async_place(self, waiting: QueuedCall) -> Placed:
        """Wait for a target.

        Raises
        ------
        NoTargetError
            The call's turn is not expected before its end.
        """
        now = self.clock.monotonic()
        if not self.entries:
            placed = self.placer.place(waiting.number, now)
            if isinstance(placed, Placed):
                return placed
            if isinstance(placed, Unplaceable):
                raise NoTargetError(
                    "no target is left", retry_after=self.expected_wait(now)
                )
        if len(self.entries) >= MAX_QUEUE_LENGTH:
            raise NoTargetError(
                "too many calls wait", retry_after=self.expected_wait(now)
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
        """Place what has room and turn away what has no hope."""
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
            case Placed():
                self.entries.pop(call.number).future.set_result(placed)
                return True
            case Unplaceable():
                self._shed(call.number, self.expected_wait(now))
                return True
            case _:
                return False

    def _shed(self, number: int, expected_wait: float) -> None:
        entry = self.entries.pop(number)
        entry.future.set_exception(
            NoTargetError(
                "its turn would come after its end", retry_after=expected_wait
            )
        )

    def work_seconds(self) -> float:
        """Return the work that waits here."""
        return sum(occupancy_seconds(entry.waiting) for entry in self.entries.values())

    def offered_load(self, now: float) -> float:
        """Return the workers that the calls which arrive here would keep busy."""
        return self.placer.offered_load(now)

    def expected_wait(self, now: float) -> float:
        """Return the seconds until all that waits is expected to be placed."""
        waiting = [entry.waiting for entry in self.entries.values()]
        return expected_wait(waiting, self.placer.capacity(now))
