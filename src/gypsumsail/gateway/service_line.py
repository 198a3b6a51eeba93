"""Calls that wait on this VM for the targets of one service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import NoTargetError
from gypsumsail.gateway.const import LINE_INTERVAL_SECONDS, LONGEST_LINE
from gypsumsail.gateway.line import (
    Capacity,
    Waiting,
    free_in,
    hopeless,
    in_order,
    occupied,
)
from gypsumsail.gateway.placement import Placed, Placement, Unplaceable


class Placer(Protocol):
    """Finds a target for a waiting call."""

    def place(self, number: int, now: float) -> Placement:
        """Choose a target; the call counts as being there at once."""

    def capacity(self, now: float) -> Capacity:
        """Return what works on the calls of the line."""

    def arriving(self, now: float) -> float:
        """Return the workers that the calls which arrive here would keep busy."""


@dataclass(slots=True)
class _Place:
    waiting: Waiting
    future: asyncio.Future[Placed]


class ServiceLine:
    """Waiting calls of one service, placed in order as targets get room."""

    def __init__(self, placer: Placer, clock: Clock) -> None:
        self.placer = placer
        self.clock = clock
        self.places: dict[int, _Place] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def async_place(self, waiting: Waiting) -> Placed:
        """Wait for a target.

        Raises
        ------
        NoTargetError
            The call's turn is not expected before its end.
        """
        now = self.clock.monotonic()
        if not self.places:
            placed = self.placer.place(waiting.number, now)
            if isinstance(placed, Placed):
                return placed
            if isinstance(placed, Unplaceable):
                raise NoTargetError("no target is left", retry_after=self.free_in(now))
        if len(self.places) >= LONGEST_LINE:
            raise NoTargetError("too many calls wait", retry_after=self.free_in(now))
        loop = asyncio.get_running_loop()
        place = _Place(waiting, loop.create_future())
        self.places[waiting.number] = place
        self.pump()
        try:
            return await place.future
        finally:
            self.places.pop(waiting.number, None)

    @callback
    def pump(self) -> None:
        """Place what has room and turn away what has no hope."""
        if not self.places:
            return
        now = self.clock.monotonic()
        waiting = [
            place.waiting for place in self.places.values() if not place.future.done()
        ]
        ordered = in_order(waiting, now)
        left = [call for call in ordered if not self._try_place(call, now)]
        capacity = self.placer.capacity(now)
        for away in hopeless(left, capacity, now):
            self._turn_away(away.call.number, away.free_in)
        if left and self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(LINE_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.pump()

    def _try_place(self, call: Waiting, now: float) -> bool:
        placed = self.placer.place(call.number, now)
        match placed:
            case Placed():
                self.places.pop(call.number).future.set_result(placed)
                return True
            case Unplaceable():
                self._turn_away(call.number, self.free_in(now))
                return True
            case _:
                return False

    def _turn_away(self, number: int, free_in: float) -> None:
        place = self.places.pop(number)
        place.future.set_exception(
            NoTargetError("its turn would come after its end", retry_after=free_in)
        )

    def work_seconds(self) -> float:
        """Return the work that waits here."""
        return sum(occupied(place.waiting) for place in self.places.values())

    def arriving(self, now: float) -> float:
        """Return the workers that the calls which arrive here would keep busy."""
        return self.placer.arriving(now)

    def free_in(self, now: float) -> float:
        """Return the seconds until all that waits is expected to be placed."""
        waiting = [place.waiting for place in self.places.values()]
        return free_in(waiting, self.placer.capacity(now))
