"""Small fleet of VMs that save parts to one store and fetch them, in simulated time.

Each VM has the real view of the store and the real exchange of reports. Engines begin
saves late, the store restarts empty, some changes are never reported, VMs are cut off
from each other or from the store, and restart.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from gypsumsail.context_stores.report_exchange import ReportExchange
from gypsumsail.context_stores.store_view import (
    PartKey,
    StoreAnswer,
    StoreChange,
    StoreView,
)
from gypsumsail.gateway.models import PromptPart
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.gossip.store_messages import StoreReports
from tests.common import ManualClock
from tests.context_stores.common import context_store, job_at
from tests.gateway.common import document, stream_route

STEP_SECONDS = 0.05
DISTURBANCES_PER_STEP = 0.01
WRITE_SECONDS = 0.1
POLL_TIMEOUT_SECONDS = 1.6
FETCH_SECONDS = 1.6
SCOPE = "1"
PARTS = tuple(PromptPart(name=f"p{number}", tokens=100) for number in range(4))


@dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """Time in which a part is written, or may be fetched."""

    key: PartKey
    begin: float
    end: float


@dataclass(slots=True)
class SimulatedStore:
    """Store with numbered changes, of which some are never reported."""

    random: Random
    life: int = 1
    up_at: float = 0.0
    number: int = 0
    held: dict[PartKey, int] = field(default_factory=dict)
    writing: dict[PartKey, float] = field(default_factory=dict)
    events: list[StoreChange] = field(default_factory=list)
    writes: list[Span] = field(default_factory=list)

    def restart(self, now: float, down_seconds: float) -> None:
        """End, and start again empty."""
        self.life += 1
        self.up_at = now + down_seconds
        self.number = 0
        self.held.clear()
        self.writing.clear()
        self.events.clear()

    def save(self, key: PartKey, now: float) -> None:
        """Begin to write a part; one that is held or being written stays."""
        if now < self.up_at or key in self.held or key in self.writing:
            return
        self.writing[key] = now + WRITE_SECONDS
        self.writes.append(Span(key=key, begin=now, end=now + WRITE_SECONDS))

    def step(self, now: float) -> None:
        """Complete the parts that are written."""
        for key in [key for key, at in self.writing.items() if at <= now]:
            del self.writing[key]
            self.held[key] = 100
            self.number += 1
            change = StoreChange(
                scope=key[0], part=key[1], tokens=100, number=self.number
            )
            if self.random.random() > 0.15:
                self.events.append(change)

    def answer(self, now: float, since: int | None) -> StoreAnswer:
        """Return the contents, or the changes since a number."""
        listed = tuple(
            StoreChange(scope=scope, part=part, tokens=tokens)
            for (scope, part), tokens in self.held.items()
        )
        changes = tuple(found for found in self.events if found.number > (since or 0))
        return StoreAnswer(
            life=self.life,
            next_number=self.number,
            has_gap=False,
            changes=listed if since is None else changes,
            clock_ms=int(now * 1000),
        )


class SimulatedVm:
    """One VM."""

    def __init__(self, fleet: SimulatedFleet, number: int) -> None:
        self.fleet = fleet
        self.host = f"10.0.0.{number}"
        self.started_at_ms = 1
        self.is_cut_from_peers = False
        self.is_cut_from_store = False
        self.start(had_former_life=False)

    def start(self, *, had_former_life: bool) -> None:
        """Start without any knowledge."""
        fleet = self.fleet
        self.targets = TargetTable()
        self.view = StoreView(context_store())
        self.peers = PeerTable(self.host, self.host, "z1")
        self.exchange = ReportExchange(
            self.peers, lambda store: True, lambda store, now: False
        )
        self.exchange.set_longest_call(document(stream_route(timeout=5.0)))
        self.exchange.add(self.view)
        self.exchange.started_at = fleet.clock.now
        self.exchange.started_at_ms = self.started_at_ms
        self.exchange.had_former_life = had_former_life
        self.exchange.send = lambda message, hosts: fleet.send(self, message, hosts)
        self.poll_at = fleet.clock.now
        for host in fleet.hosts:
            if host != self.host:
                self.peers.peers[host] = Peer(host=host, known_since=fleet.clock.now)

    def hear(self, other: SimulatedVm, now: float) -> None:
        """Hear of another VM."""
        peer = self.peers.peers[other.host]
        peer.vm, peer.zone = other.host, "z1"
        peer.started_at_ms = other.started_at_ms
        peer.last_message_at = now
        peer.reads_store_reports = True

    def poll(self, store: SimulatedStore, now: float) -> None:
        """Ask the store for its contents or its changes."""
        if now < self.poll_at:
            return
        if self.is_cut_from_store or now < store.up_at:
            if now - self.view.answered_at > POLL_TIMEOUT_SECONDS:
                self.view.reset()
            return
        self.poll_at = now + self.fleet.random.choice([0.05, 0.3, 1.0])
        view = self.view
        if view.life is None or self.exchange.wants_list(view):
            view.load(store.answer(now, None), now)
            self.exchange.record_list(view)
        else:
            view.apply_changes(store.answer(now, view.next_number), now)
        self.exchange.confirm_parts(view, now)

    def serve(self, part: PromptPart, now: float) -> None:
        """Place a call whose prompt has a part that is fetched or saved."""
        view, key = self.view, (SCOPE, part.name)
        if self.fleet.can_fetch(self, part, now):
            latest = view.answered_at + 3.0
            end = min(now + self.fleet.random.uniform(0.1, FETCH_SECONDS), latest)
            self.fleet.fetches.append(Span(key=key, begin=now, end=end))
            return
        if not view.can_save(now) or view.is_stored_or_saving(SCOPE, part, now):
            return
        if not self.exchange.may_save(view, now):
            return
        if self.exchange.is_saved_elsewhere(view, key):
            return
        job, assignment = job_at(self.targets, "e1", self.fleet.clock)
        job.may_have_run = True
        view.mark_saving(SCOPE, (part,), now)
        self.exchange.record_save(view, key, job, assignment)
        self.exchange.announce_saves([view], now)
        exchange, random = self.exchange, self.fleet.random

        def begin() -> None:
            self.fleet.store.save(key, self.fleet.clock.now)
            exchange.record_first_token(assignment, self.fleet.clock.now)

        delay = random.choice([0.1, 0.4, random.uniform(0.1, 4.9)])
        self.fleet.schedule(now + delay, begin)


class SimulatedFleet:
    """VMs, a store, and a network that delays and loses messages.

    Attributes
    ----------
    waits_for_confirmation
        Whether VMs fetch confirmed parts only.
    fetches
        Times in which parts may be read from the store.
    """

    def __init__(self, seed: int, vms: int, *, waits_for_confirmation: bool) -> None:
        self.random = Random(seed)
        self.clock = ManualClock()
        self.waits_for_confirmation = waits_for_confirmation
        self.store = SimulatedStore(self.random)
        self.fetches: list[Span] = []
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.hosts = [f"10.0.0.{number}" for number in range(vms)]
        self.vms = [SimulatedVm(self, number) for number in range(vms)]

    def can_fetch(self, vm: SimulatedVm, part: PromptPart, now: float) -> bool:
        """Return whether a VM lets an engine fetch a part."""
        if self.waits_for_confirmation:
            return vm.view.can_fetch_part(SCOPE, part, now)
        return vm.view.can_fetch(now) and vm.view.holds(SCOPE, part)

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heappush(self.due, (at, next(self.order), action))

    def send(
        self, sender: SimulatedVm, message: StoreReports, hosts: list[str]
    ) -> None:
        """Deliver a message, late or never."""
        for vm in self.vms:
            if vm.host not in hosts or self.random.random() < 0.05:
                continue
            delay = self.random.choice([0.0, 0.02, 0.3])
            receiver = vm

            def deliver(receiver: SimulatedVm = receiver) -> None:
                if not (sender.is_cut_from_peers or receiver.is_cut_from_peers):
                    receiver.exchange.handle(message, self.clock.now)

            self.schedule(self.clock.now + delay, deliver)

    def run(self, seconds: float) -> list[tuple[Span, Span]]:
        """Run; return the writes during which the part might be fetched."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += STEP_SECONDS
            self._step(self.clock.now)
        return [
            (write, fetch)
            for write in self.store.writes
            for fetch in self.fetches
            if write.key == fetch.key
            and write.begin < fetch.end
            and fetch.begin < write.end
        ]

    def _step(self, now: float) -> None:
        while self.due and self.due[0][0] <= now:
            heappop(self.due)[2]()
        self.store.step(now)
        self._disturb(now)
        for vm in self.vms:
            for other in self.vms:
                if other is not vm and not (
                    vm.is_cut_from_peers or other.is_cut_from_peers
                ):
                    vm.hear(other, now)
            vm.poll(self.store, now)
            vm.exchange.tick(now)
            if self.random.random() < 0.3:
                vm.serve(self.random.choice(PARTS), now)

    def _disturb(self, now: float) -> None:
        if self.random.random() > DISTURBANCES_PER_STEP:
            return
        vm = self.random.choice(self.vms)
        match self.random.randrange(5):
            case 0 | 1:
                self.store.restart(now, self.random.choice([0.05, 0.5, 1.5]))
            case 2:
                vm.is_cut_from_peers = not vm.is_cut_from_peers
            case 3:
                vm.is_cut_from_store = not vm.is_cut_from_store
            case 4:
                vm.started_at_ms += 1
                vm.start(had_former_life=True)
