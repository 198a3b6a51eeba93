"""Simulated fleet whose engines crash on a part of a prompt.

The VMs decide with the product's code and hear of each other after a delay.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
import heapq
from itertools import count
import random

from gypsumsail.gateway.part_suspects import (
    PartCrash,
    PartSuspects,
    PartUpdate,
    TargetLife,
)

FIRST_TOKEN_SECONDS = (0.03, 0.2)
ANSWER_SECONDS = (0.3, 2.0)
DOWN_SECONDS = 3.0
HEADS = 4
ATTACHMENTS = 200
STORE_DELAY_SECONDS = (0.25, 0.75)
"""Shortest and longest time until a VM has written what it blocks."""
TOUCH_SECONDS = 3.0
"""Time from which rules count calls after the fifth crash."""


@dataclass(slots=True)
class ModelCall:
    """One call at an engine."""

    vm: PartSuspects
    parts: tuple[str, ...]
    orders: dict[str, int]
    has_begun: bool = False


@dataclass(slots=True)
class ModelEngine:
    """An engine; its life is the number of its starts."""

    name: str
    life: int = 1
    is_up: bool = True
    calls: list[ModelCall] = field(default_factory=list)


@dataclass(kw_only=True)
class CrashModel:
    """Fleet of VMs before engines.

    Attributes
    ----------
    gossip_delay
        Shortest and longest time until another VM hears of an update, in seconds.
    bad_parts
        Parts on which engines crash, by name, with the calls that come per second.
    crashes, bad_sends
        Times of the crashes on each bad part, and of the sends of calls with it.
    kept
        What VMs have written into the store, by their index.
    sound, begun
        Times of arrival of all sound calls, and of those that began at once.
    """

    seed: int
    vms: int
    engines: int
    calls_per_second: float
    gossip_delay: tuple[float, float]
    bad_parts: dict[str, float]
    is_bad_part_first: bool = False
    now: float = 0.0
    crashes: dict[str, list[float]] = field(default_factory=dict)
    bad_sends: dict[str, list[float]] = field(default_factory=dict)
    kept: dict[int, list[PartCrash]] = field(default_factory=dict)
    sound: list[float] = field(default_factory=list)
    begun: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the VMs and engines."""
        self.random = random.Random(self.seed)
        self.numbers = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.targets = [ModelEngine(f"e{index}") for index in range(self.engines)]
        self.start_vms()
        self.healed_parts: set[str] = set()

    def start_vms(self) -> None:
        """Start all VMs, or replace them by VMs that know only what was kept.

        The calls of the replaced ones end.
        """
        self.started_at = self.now or float("-inf")
        kept = [update for updates in self.kept.values() for update in updates]
        for engine in self.targets:
            engine.calls.clear()
        self.fleet = [PartSuspects() for _ in range(self.vms)]
        for index, vm in enumerate(self.fleet):
            vm.may_try = partial(_may_try, index)
            vm.on_blocked = partial(self._on_blocked, index, vm)
            vm.on_released = partial(self._on_released, index, vm)
            for update in kept:
                vm.apply(update, self.now)

    def _on_blocked(
        self, index: int, vm: PartSuspects, part: str, crashes: Iterable[TargetLife]
    ) -> None:
        self._keep_later(index, vm)

    def _on_released(self, index: int, vm: PartSuspects, part: str) -> None:
        self._keep_later(index, vm)

    def _keep_later(self, index: int, vm: PartSuspects) -> None:
        """Let a VM write what it blocks, unless it is replaced before."""

        def write() -> None:
            if vm in self.fleet:
                self.kept[index] = vm.updates_to_keep()

        self.at(self.random.uniform(*STORE_DELAY_SECONDS), write)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Send calls for some time."""
        self._schedule_sound()
        for part in self.bad_parts:
            self._schedule_bad(part)
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def _schedule_sound(self) -> None:
        self._send_sound()
        self.at(self.random.expovariate(self.calls_per_second), self._schedule_sound)

    def _schedule_bad(self, part: str) -> None:
        def send() -> None:
            self._send_bad(part)
            self._schedule_bad(part)

        self.at(self.random.expovariate(self.bad_parts[part]), send)

    def _send_sound(self) -> None:
        parts = (f"head{self.random.randrange(HEADS)}", self._attachment())
        arrived_at = self.now
        self.sound.append(arrived_at)
        self._send(parts, lambda: self.begun.append(arrived_at))

    def _attachment(self) -> str:
        return f"attachment{self.random.randrange(ATTACHMENTS)}"

    def _send_bad(self, part: str) -> None:
        head = f"head{self.random.randrange(HEADS)}"
        others = (self._attachment(),) if self.is_bad_part_first else ()
        parts = (part, *others) if self.is_bad_part_first else (head, part)
        if self._send(parts, lambda: None):
            self.bad_sends.setdefault(part, []).append(self.now)

    def _send(self, parts: tuple[str, ...], on_begin: Callable[[], None]) -> bool:
        vm = self.random.choice(self.fleet)
        up = [engine for engine in self.targets if engine.is_up]
        if not up or vm.admit(parts, self.now) is not None:
            return False
        engine = self.random.choice(up)
        call = ModelCall(vm=vm, parts=parts, orders=vm.orders(parts, self.now))
        engine.calls.append(call)
        delay = self.random.uniform(*FIRST_TOKEN_SECONDS)
        self.at(delay, lambda: self._begin(engine, call, on_begin))
        return True

    def _begin(
        self, engine: ModelEngine, call: ModelCall, on_begin: Callable[[], None]
    ) -> None:
        if call not in engine.calls:
            return
        bad = self.bad_parts.keys() - self.healed_parts
        found = next((part for part in call.parts if part in bad), None)
        if found is not None:
            self.crashes.setdefault(found, []).append(self.now)
            self.crash(engine)
            return
        call.has_begun = True
        call.vm.record_answer(call.parts, self.now)
        self._tell(call.vm)
        on_begin()
        self.at(
            self.random.uniform(*ANSWER_SECONDS),
            partial(self._end, engine, call),
        )

    @staticmethod
    def _end(engine: ModelEngine, call: ModelCall) -> None:
        if call in engine.calls:
            engine.calls.remove(call)

    def crash_first(self, count: int) -> None:
        """End some engines at once."""
        for engine in self.targets[:count]:
            self.crash(engine)

    def crash(self, engine: ModelEngine) -> None:
        """End an engine with all calls there; it is back later."""
        calls, engine.calls = engine.calls, []
        for call in calls:
            if not call.has_begun:
                call.vm.record_crash(call.orders, engine.name, engine.life, self.now)
                self._tell(call.vm)
        engine.is_up = False
        self.at(DOWN_SECONDS, lambda: self._restart(engine))

    def _restart(self, engine: ModelEngine) -> None:
        engine.life += 1
        engine.is_up = True

    def _tell(self, sender: PartSuspects) -> None:
        updates = sender.take_unsent(100)
        if not updates:
            return
        for vm in self.fleet:
            if vm is not sender:
                delay = self.random.uniform(*self.gossip_delay)
                self.at(delay, partial(self._hear, vm, updates))

    def _hear(self, vm: PartSuspects, updates: list[PartUpdate]) -> None:
        for update in updates:
            vm.apply(update, self.now)

    def late_bad_sends(self, part: str) -> int:
        """Return the sends with a part that rules count after the fifth crash.

        Those just after a start of the VMs don't count.
        """
        crashes = self.crashes.get(part, [])
        if not crashes:
            return 0
        since = crashes[min(len(crashes), 5) - 1] + TOUCH_SECONDS
        excused_until = self.started_at + TOUCH_SECONDS
        return sum(
            at > since and not self.started_at <= at <= excused_until
            for at in self.bad_sends[part]
        )

    def begun_share(self, since: float, until: float) -> float:
        """Return the share of the sound calls of a time that began at once."""
        sound = sum(since <= at < until for at in self.sound)
        return sum(since <= at < until for at in self.begun) / sound


def _may_try(index: int, part: str, now: float) -> bool:
    """Let the first VM try each part."""
    return index == 0
