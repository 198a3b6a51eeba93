"""Sends the state of this VM to the other VMs and applies the state they send."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace
import random
from typing import TypeVar

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.const import PEER_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.targets import PeerTargetLoad, TargetState, TargetTable
from gypsumsail.gossip.const import (
    CATCH_UP_DELAY_SECONDS,
    MAX_CONTEXT_STORE_CHANGES_PER_MESSAGE,
    MAX_UNREACHABLE_PER_MESSAGE,
    MAX_UPDATES_PER_MESSAGE,
    UNCHANGED_INTERVAL_SECONDS,
)
from gypsumsail.gossip.endpoint import GossipEndpoint
from gypsumsail.gossip.messages import (
    CachedPrompt,
    ContextStoreUpdate,
    CrashReport,
    GossipMessage,
    LoadingTarget,
    ObservedWeights,
    RemovedTarget,
    ServiceLoad,
    TargetLoad,
    UnreachableTarget,
)
from gypsumsail.gossip.peers import Peer, PeerTable

_UpdateT = TypeVar("_UpdateT")

MILLISECONDS_PER_SECOND = 1000.0
SENDS_PER_UPDATE = 3
"""Number of messages that carry each update, because datagrams may be lost.

It applies to crash reports, loading targets, weight versions and removals. Cached
prompts and context store updates are sent once.
"""


class GossipCoordinator:
    """Gossip of one VM.

    In a large deployment, the VMs of one zone exchange full messages. VMs of other
    zones receive reduced messages at a lower rate, without cached prompts, updates of
    context stores and unreachable targets.

    Attributes
    ----------
    last_changed_revisions
        Returns the revision of the newest change that this VM knows, by kind.
    own_service_loads
        Returns the load that this VM has for the targets of each service.
    waiting
        Time and content of the latest service loads from each other VM.
    reads_store
        Returns whether this VM reads a kind from the platform's object store.
    on_context_store_update
        Called with the changes of a context store that another VM reports.
    on_removal_confirmed
        Called with the name and incarnation of a target whose removal another VM
        confirmed.
    targets_with_calls, reported_unreachable
        Targets at which each other VM has calls, and targets that it can't reach.
    """

    def __init__(
        self,
        port: int,
        peers: PeerTable,
        targets: TargetTable,
        crash_suspects: CrashSuspectTracker,
        clock: Clock,
        last_changed_revisions: Callable[[], Mapping[str, int]],
        reads_store: Callable[[str], bool],
        on_context_store_update: Callable[[Peer, ContextStoreUpdate], None],
    ) -> None:
        self.port = port
        self.peers = peers
        self.targets = targets
        self.crash_suspects = crash_suspects
        self.clock = clock
        self.last_changed_revisions = last_changed_revisions
        self.reads_store = reads_store
        self.on_context_store_update = on_context_store_update
        self.endpoint = GossipEndpoint(self.handle_message)
        self.started_at_ms = int(clock.wall() * 1000)
        self.sequence_number = 0
        self.last_content: GossipMessage | None = None
        self.sent_revisions: Mapping[str, int] = {}
        self.random = random.Random()
        self.own_service_loads: Callable[[], tuple[ServiceLoad, ...]] = tuple
        self.waiting: dict[str, tuple[float, tuple[ServiceLoad, ...]]] = {}
        self.cached: deque[CachedPrompt] = deque(maxlen=256)
        self.context_store_updates: deque[ContextStoreUpdate] = deque(maxlen=512)
        self.crash_report_updates: list[tuple[CrashReport, int]] = []
        self.loading_updates: list[tuple[LoadingTarget, int]] = []
        self.weight_updates: list[tuple[ObservedWeights, int]] = []
        self.removal_updates: list[tuple[RemovedTarget, int]] = []
        self.on_removal_confirmed: Callable[[str, int], None] = lambda target, life: (
            None
        )
        self.targets_with_calls: dict[str, list[TargetState]] = {}
        self.reported_unreachable: dict[str, list[TargetState]] = {}

    async def async_start(self) -> None:
        """Open the socket and listen for messages."""
        await self.endpoint.async_start(self.peers.host, self.port)

    @callback
    def stop(self) -> None:
        """Close the socket."""
        self.endpoint.stop()

    @callback
    def announce_cached_prompt(
        self, job: Job, assignment: Assignment, now: float
    ) -> None:
        """Announce that an engine has cached a prompt."""
        prompt = job.call.prompt
        # The last part is the caller's question, which other prompts don't contain.
        if prompt is None or len(prompt.parts) < 2:
            return
        entry = assignment.state.entry
        self.cached.append(
            CachedPrompt(
                target=entry.name,
                life=entry.life,
                scope=assignment.cache_scope,
                parts=prompt.parts[:-1],
            )
        )

    @callback
    def announce_loading(self, state: TargetState) -> None:
        """Announce that an engine is about to load other weights."""
        entry = state.entry
        update = LoadingTarget(target=entry.name, life=entry.life)
        self.loading_updates.append((update, SENDS_PER_UPDATE))
        self.send_to_all(self.clock.monotonic())

    @callback
    def announce_weights(self, state: TargetState, model: str, version: int) -> None:
        """Announce the weight version that an engine reported."""
        entry = state.entry
        update = ObservedWeights(
            target=entry.name, life=entry.life, model=model, version=version
        )
        self.weight_updates.append((update, SENDS_PER_UPDATE))
        self.send_to_all(self.clock.monotonic())

    @callback
    def announce_removal(self, entry: TargetEntry) -> None:
        """Announce a removal that this VM saw while the store had no outage."""
        update = RemovedTarget(target=entry.name, life=entry.life)
        self.removal_updates.append((update, SENDS_PER_UPDATE))

    @callback
    def publish_context_store_update(self, update: ContextStoreUpdate) -> None:
        """Send changes of a context store to the VMs that receive full messages."""
        self.context_store_updates.append(update)

    @callback
    def tick(self, now: float) -> None:
        """Send the messages that are due."""
        last_changed_revisions = self.last_changed_revisions()
        if last_changed_revisions != self.sent_revisions:
            self.sent_revisions = dict(last_changed_revisions)
            self.send_to_all(now)
            return
        full, reduced = self.peers.split(now)
        due_full = self.peers.due(full, self.peers.same_zone_interval(now), now)
        due_reduced = self.peers.due(reduced, self.peers.cross_zone_interval(now), now)
        if due_full or due_reduced:
            self._send(due_full, due_reduced, now, force=False)

    @callback
    def send_to_all(self, now: float) -> None:
        """Send a message to all VMs immediately."""
        full, reduced = self.peers.split(now)
        self._send(full, reduced, now, force=True)

    def _send(
        self, full: list[Peer], reduced: list[Peer], now: float, *, force: bool
    ) -> None:
        message = self._next_message(now, is_full=bool(full))
        content = replace(message, sequence_number=0, hosts=())
        if not force and content == self.last_content:
            limit = now - UNCHANGED_INTERVAL_SECONDS
            full = [peer for peer in full if (peer.sent_at or 0.0) <= limit]
            reduced = [peer for peer in reduced if (peer.sent_at or 0.0) <= limit]
        self.last_content = content
        for peer in (*full, *reduced):
            peer.sent_at = now
        self.endpoint.send(message, [(peer.host, self.port) for peer in full])
        if reduced:
            reduced_message = replace(
                message, cached=(), context_store_updates=(), unreachable=()
            )
            self.endpoint.send(
                reduced_message, [(peer.host, self.port) for peer in reduced]
            )

    def _next_message(self, now: float, *, is_full: bool) -> GossipMessage:
        """Take the next updates from the queues and return a message with them."""
        for fingerprint, target, life in self.crash_suspects.take_unsent(
            MAX_UPDATES_PER_MESSAGE
        ):
            crash_report = CrashReport(
                fingerprint=fingerprint, target=target, life=life
            )
            self.crash_report_updates.append((crash_report, SENDS_PER_UPDATE))
        self.sequence_number += 1
        return GossipMessage(
            vm=self.peers.vm,
            host=self.peers.host,
            zone=self.peers.zone,
            started_at_ms=self.started_at_ms,
            sequence_number=self.sequence_number,
            last_changed_revisions=tuple(self.last_changed_revisions().items()),
            loads=tuple(
                _load(state, now)
                for state in self.targets.states.values()
                if state.in_flight
            ),
            cached=self._next_cached_prompts() if is_full else (),
            crash_reports=_pop_updates(self.crash_report_updates),
            loading=_pop_updates(self.loading_updates),
            weights=_pop_updates(self.weight_updates),
            hosts=self.peers.sample_hosts(self.random, now),
            context_store_updates=self._next_context_store_updates() if is_full else (),
            waiting=self.own_service_loads(),
            unreachable=self._unreachable() if is_full else (),
            removed=_pop_updates(self.removal_updates),
        )

    def peer_service_load(self, service: str, now: float) -> PeerServiceLoad:
        """Return the load that other VMs put on the targets of a service."""
        found = [
            item
            for at, items in self.waiting.values()
            if now - at < PEER_LOAD_MAX_AGE_SECONDS
            for item in items
            if item.service == service
        ]
        return PeerServiceLoad(
            queued_work_seconds=sum(item.work_ms for item in found)
            / MILLISECONDS_PER_SECOND,
            offered_load=sum(item.arriving_ms_per_second for item in found)
            / MILLISECONDS_PER_SECOND,
        )

    def _unreachable(self) -> tuple[UnreachableTarget, ...]:
        found = [
            UnreachableTarget(target=state.entry.name, life=state.entry.life)
            for state in self.targets.states.values()
            if state.needs_check
        ]
        return tuple(found[:MAX_UNREACHABLE_PER_MESSAGE])

    def _next_cached_prompts(self) -> tuple[CachedPrompt, ...]:
        count = min(len(self.cached), MAX_UPDATES_PER_MESSAGE)
        return tuple(self.cached.popleft() for _ in range(count))

    def _next_context_store_updates(self) -> tuple[ContextStoreUpdate, ...]:
        taken: list[ContextStoreUpdate] = []
        room = MAX_CONTEXT_STORE_CHANGES_PER_MESSAGE
        while self.context_store_updates and room > 0:
            update = self.context_store_updates.popleft()
            room -= len(update.changes) + 1
            taken.append(update)
        return tuple(taken)

    @callback
    def handle_message(self, message: GossipMessage) -> None:
        """Apply a message of another VM."""
        now = self.clock.monotonic()
        peer = self.peers.record_message(message, now)
        if peer is None:
            return
        self._apply_loads(message, now)
        if peer.zone == self.peers.zone:
            self._apply_unreachable(message, now)
        self.waiting[message.vm] = (now, message.waiting)
        for item in message.cached:
            state = self._state(item.target, item.life)
            if state is not None:
                state.cache.add(item.scope, item.parts, state.tokens(now))
        for crash_report in message.crash_reports:
            self.crash_suspects.record(
                crash_report.fingerprint, crash_report.target, crash_report.life
            )
        for loading in message.loading:
            state = self._state(loading.target, loading.life)
            if state is not None:
                state.expect_weight_loading(now)
        for observed in message.weights:
            state = self._state(observed.target, observed.life)
            if state is not None:
                state.learn_version(observed.model, observed.version, now)
        for removed in message.removed:
            self.on_removal_confirmed(removed.target, removed.life)
        for update in message.context_store_updates:
            self.on_context_store_update(peer, update)
        self._track_newer_revisions(peer, message, now)

    def _apply_loads(self, message: GossipMessage, now: float) -> None:
        for previous in self.targets_with_calls.get(message.vm, ()):
            previous.peers.pop(message.vm, None)
        found = []
        for load in message.loads:
            state = self._state(load.target, load.life)
            if state is None:
                continue
            found.append(state)
            state.peers[message.vm] = PeerTargetLoad(
                calls=load.calls,
                tokens=load.tokens,
                pending_prefill_tokens=load.pending_prefill_tokens,
                at=now,
                is_stalled=load.is_stalled,
            )
        self.targets_with_calls[message.vm] = found

    def _apply_unreachable(self, message: GossipMessage, now: float) -> None:
        """Apply the targets that another VM of this zone can't connect to."""
        for state in self.reported_unreachable.pop(message.vm, ()):
            state.unreachable_reports.pop(message.vm, None)
        if not message.unreachable:
            return
        named = [self._state(item.target, item.life) for item in message.unreachable]
        found = [state for state in named if state is not None]
        for state in found:
            state.unreachable_reports[message.vm] = now
        self.reported_unreachable[message.vm] = found

    def _track_newer_revisions(
        self, peer: Peer, message: GossipMessage, now: float
    ) -> None:
        if not self._is_behind(message.last_changed_revisions):
            peer.ahead_since = None
        elif peer.ahead_since is None:
            peer.ahead_since = now

    def _is_behind(self, last_changed_revisions: tuple[tuple[str, int], ...]) -> bool:
        known = self.last_changed_revisions()
        return any(
            revision > known.get(kind, 0) for kind, revision in last_changed_revisions
        )

    def peer_to_catch_up_from(self, now: float) -> Peer | None:
        """Return a VM with newer changes than this one, preferably in this zone.

        A VM that reads all kinds from the store first waits some time for the store's
        answer.
        """
        delay = CATCH_UP_DELAY_SECONDS if self._reads_all_from_store() else 0.0
        ahead = [
            peer
            for peer in self.peers.alive(now)
            if peer.ahead_since is not None and now - peer.ahead_since >= delay
        ]
        same_zone = [peer for peer in ahead if peer.zone == self.peers.zone]
        return self.random.choice(same_zone or ahead) if ahead else None

    def _reads_all_from_store(self) -> bool:
        return all(self.reads_store(kind) for kind in self.last_changed_revisions())

    def _state(self, target: str, life: int) -> TargetState | None:
        state = self.targets.states.get(target)
        return state if state is not None and state.entry.life == life else None


def _load(state: TargetState, now: float) -> TargetLoad:
    flights = state.in_flight.values()
    return TargetLoad(
        target=state.entry.name,
        life=state.entry.life,
        calls=len(flights),
        tokens=sum(flight.tokens for flight in flights),
        pending_prefill_tokens=sum(flight.pending_prefill_tokens for flight in flights),
        is_stalled=state.is_stalled_locally(now),
    )


def _pop_updates(updates: list[tuple[_UpdateT, int]]) -> tuple[_UpdateT, ...]:
    """Return the next updates; keep those that have to be sent again."""
    taken = updates[:MAX_UPDATES_PER_MESSAGE]
    del updates[:MAX_UPDATES_PER_MESSAGE]
    updates.extend((item, left - 1) for item, left in taken if left > 1)
    return tuple(item for item, _ in taken)
