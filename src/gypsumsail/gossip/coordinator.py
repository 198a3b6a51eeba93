"""Sends the state of this VM to the other VMs and applies the state they send."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
import random
from typing import TypeVar

from gypsumsail.catalog.freshness import CopyConfirmation
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.arrivals import PeerServiceLoad
from gypsumsail.gateway.const import PEER_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.part_suspects import PartAnswered, PartCrash, PartSuspects
from gypsumsail.gateway.stream_builds import StreamBuilds
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import PeerTargetLoad, TargetState
from gypsumsail.gossip.const import (
    CATCH_UP_DELAY_SECONDS,
    MAX_CONTEXT_STORE_CHANGES_PER_MESSAGE,
    MAX_REPEATED_CRASHES,
    MAX_UNREACHABLE_PER_MESSAGE,
    MAX_UPDATES_PER_MESSAGE,
    UNCHANGED_INTERVAL_SECONDS,
)
from gypsumsail.gossip.copy_exchange import CopyExchange
from gypsumsail.gossip.copy_messages import CopiesConfirmed
from gypsumsail.gossip.crash_repeats import CrashRepeats, blocked_requests
from gypsumsail.gossip.endpoint import GossipEndpoint
from gypsumsail.gossip.messages import (
    CachedPrompt,
    ContextStoreUpdate,
    CrashReport,
    CrashUpdate,
    GossipMessage,
    LoadingTarget,
    ObservedWeights,
    RemovedTarget,
    ServiceLoad,
    TargetLoad,
    UnreachableTarget,
)
from gypsumsail.gossip.notice_exchange import NoticeExchange
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.gossip.reporter import OTHER_ZONES_KEY, ZoneReporter, zone_key
from gypsumsail.gossip.store_messages import StoreReports
from gypsumsail.gossip.stream_exchange import StreamExchange
from gypsumsail.gossip.stream_messages import StreamMessage
from gypsumsail.gossip.target_notices import TargetNotices
from gypsumsail.gossip.zone_reports import (
    FleetUpdate,
    ReportScope,
    SummedLoad,
    ZoneReport,
)

_UpdateT = TypeVar("_UpdateT")

SENDS_PER_UPDATE = 3
"""Number of messages that carry each update, because datagrams may be lost.

It applies to crash reports, loading targets, weight versions and removals. Cached
prompts and context store updates are sent once.
"""


class GossipCoordinator:
    """Gossip of one VM.

    In a large deployment, the VMs of one zone exchange full messages. VMs of other
    zones hear of each other by zone reports (see ``reporter``) and send each other
    reduced messages as heartbeats, without cached prompts, updates of context stores
    and unreachable targets.

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
    on_copy_confirmed
        Called with what another VM has read from the store; returns whether that VM
        has no change that this one lacks.
    on_store_reports
        Called with the reports of another VM on context stores.
    on_behind
        Called with a kind of which another VM has a change that this one lacks.
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
        part_suspects: PartSuspects,
        stream_builds: StreamBuilds,
        clock: Clock,
        last_changed_revisions: Callable[[], Mapping[str, int]],
        reads_store: Callable[[str], bool],
        on_context_store_update: Callable[[Peer, ContextStoreUpdate], None],
    ) -> None:
        self.port = port
        self.peers = peers
        self.targets = targets
        self.crash_suspects = crash_suspects
        self.part_suspects = part_suspects
        self.crash_repeats = CrashRepeats(
            part_suspects, crash_suspects, peers, clock.monotonic()
        )
        self.clock = clock
        self.last_changed_revisions = last_changed_revisions
        self.reads_store = reads_store
        self.on_context_store_update = on_context_store_update
        self.endpoint = GossipEndpoint(
            self.handle_message,
            self.handle_report,
            self.handle_notices,
            self.handle_stream_message,
            self.handle_copies_confirmed,
            self.handle_store_reports,
        )
        self.on_store_reports: Callable[[StoreReports, float], None] = (
            lambda message, now: None
        )
        self.copies = CopyExchange(peers, self._send_copies_confirmed)
        self.on_copy_confirmed: Callable[[CopyConfirmation, float], bool] = (
            lambda confirmation, now: True
        )
        self.on_behind: Callable[[str, float], None] = lambda kind, now: None
        self.streams = StreamExchange(
            peers, stream_builds, clock, self._send_stream_message
        )
        self.notices = NoticeExchange(
            peers, targets, self._send_notices, clock.monotonic()
        )
        self.started_at_ms = int(clock.wall() * 1000)
        self.sequence_number = 0
        self.last_content: GossipMessage | None = None
        self.sent_revisions: Mapping[str, int] = {}
        self.random = random.Random()
        self.own_service_loads: Callable[[], tuple[ServiceLoad, ...]] = tuple
        self.waiting: dict[str, tuple[float, tuple[ServiceLoad, ...]]] = {}
        self.cached: deque[CachedPrompt] = deque(maxlen=256)
        self.context_store_updates: deque[ContextStoreUpdate] = deque(maxlen=512)
        self.crash_report_updates: list[tuple[CrashUpdate, int]] = []
        self.loading_updates: list[tuple[LoadingTarget, int]] = []
        self.weight_updates: list[tuple[ObservedWeights, int]] = []
        self.removal_updates: list[tuple[RemovedTarget, int]] = []
        self.on_removal_confirmed: Callable[[str, int], None] = lambda target, life: (
            None
        )
        self.reporter = ZoneReporter(
            peers,
            targets,
            self,
            last_changed_revisions,
            self._send_report,
            lambda: self.own_service_loads(),
            self.started_at_ms,
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
        if assignment.weight_version is None:
            # No other call finds the parts.
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
        self.reporter.tick(now)
        self.notices.tick(now)
        self.streams.tick(now)
        self.copies.tick(now)
        self.crash_report_updates += [
            (update, 1) for update in self.crash_repeats.due(now)
        ]
        last_changed_revisions = self.last_changed_revisions()
        if last_changed_revisions != self.sent_revisions:
            has_read_change = self._has_read_change(last_changed_revisions)
            self.sent_revisions = dict(last_changed_revisions)
            if has_read_change or not self.peers.is_large(now):
                self.send_to_all(now)
                return
        full, reduced = self.peers.split(now)
        due_full = self.peers.due(full, self.peers.same_zone_interval(now), now)
        due_reduced = self.peers.due(reduced, self.peers.cross_zone_interval(now), now)
        if due_full or due_reduced:
            self._send(due_full, due_reduced, now, force=False)

    def _has_read_change(self, last_changed_revisions: Mapping[str, int]) -> bool:
        """Return whether this VM has read a change from the store itself.

        In a large deployment only these VMs announce a change immediately.
        """
        return any(
            revision != self.sent_revisions.get(kind) and self.reads_store(kind)
            for kind, revision in last_changed_revisions.items()
        )

    @callback
    def send_to_all(self, now: float) -> None:
        """Send a message immediately to all VMs that don't read zone reports.

        Those of other zones that do hear of it from the reporting VMs.
        """
        full, others = self.peers.split(now)
        reduced = [
            peer for peer in others if not self.peers.is_told_by_reports(peer, now)
        ]
        self._send(full, reduced, now, force=True)

    def _send_report(self, report: ZoneReport, hosts: list[str]) -> None:
        self.endpoint.send_report(report, [(host, self.port) for host in hosts])

    def _send_notices(self, message: TargetNotices, hosts: list[str]) -> None:
        self.endpoint.send_notices(message, [(host, self.port) for host in hosts])

    def _send_stream_message(self, message: StreamMessage, hosts: list[str]) -> None:
        addresses = [(host, self.port) for host in hosts]
        self.endpoint.send_stream_message(message, addresses)

    def _send_copies_confirmed(
        self, message: CopiesConfirmed, hosts: list[str]
    ) -> None:
        addresses = [(host, self.port) for host in hosts]
        self.endpoint.send_copies_confirmed(message, addresses)

    @callback
    def send_store_reports(self, message: StoreReports, hosts: list[str]) -> None:
        """Send reports on context stores."""
        addresses = [(host, self.port) for host in hosts]
        self.endpoint.send_store_reports(message, addresses)

    @callback
    def handle_store_reports(self, message: StoreReports) -> None:
        """Apply the reports of another VM on context stores."""
        self.on_store_reports(message, self.clock.monotonic())

    @callback
    def handle_copies_confirmed(self, message: CopiesConfirmed) -> None:
        """Apply what another VM has read from the store."""
        now = self.clock.monotonic()
        newer = {
            item.kind: item.changed_revision
            for item in message.confirmations
            if not self.on_copy_confirmed(item, now)
        }
        peer = self.peers.peers.get(message.host)
        if peer is not None and newer:
            self._set_newer(peer, {**peer.newer, **newer}, now)

    @callback
    def handle_stream_message(self, message: StreamMessage) -> None:
        """Apply a message on streams of another VM."""
        self.streams.handle(message)

    @callback
    def handle_notices(self, message: TargetNotices) -> None:
        """Apply notices of targets that another VM sends."""
        self.notices.handle(message, self.clock.monotonic())

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

    def _tell_started(self, peer: Peer, now: float) -> None:
        """Tell a VM that has just started what it needs before its first call."""
        updates: list[CrashUpdate] = [
            *self.part_suspects.updates_to_repeat(),
            *blocked_requests(self.crash_suspects),
        ]
        for first in range(0, len(updates), MAX_REPEATED_CRASHES):
            self.sequence_number += 1
            message = GossipMessage(
                vm=self.peers.vm,
                host=self.peers.host,
                zone=self.peers.zone,
                started_at_ms=self.started_at_ms,
                sequence_number=self.sequence_number,
                crash_reports=tuple(updates[first : first + MAX_REPEATED_CRASHES]),
                hosts=self.peers.sample_hosts(self.random, now),
            )
            self.endpoint.send(message, [(peer.host, self.port)])
        self.notices.tell_started(peer, now)

    def _next_message(self, now: float, *, is_full: bool) -> GossipMessage:
        """Take the next updates from the queues and return a message with them."""
        for fingerprint, target, life in self.crash_suspects.take_unsent(
            MAX_UPDATES_PER_MESSAGE
        ):
            crash_report = CrashReport(
                fingerprint=fingerprint, target=target, life=life
            )
            self.crash_report_updates.append((crash_report, SENDS_PER_UPDATE))
        # The others wait among the unsent updates, which are sorted by gravity.
        room = max(MAX_UPDATES_PER_MESSAGE - len(self.crash_report_updates), 0)
        self.crash_report_updates += [
            (update, SENDS_PER_UPDATE)
            for update in self.part_suspects.take_unsent(room)
        ]
        self.sequence_number += 1
        message = self._message(now, is_full=is_full)
        self.reporter.note_updates(_fleet_updates(message), now)
        return message

    def _message(self, now: float, *, is_full: bool) -> GossipMessage:
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
        known = self.peers.peers.get(message.host)
        known_start = known.started_at_ms if known is not None else 0
        peer = self.peers.record_message(message, now)
        if peer is None:
            return
        if peer.started_at_ms != known_start:
            self._tell_started(peer, now)
        # The sum of the VM's zone already contains these loads.
        if not self.peers.is_told_by_reports(peer, now):
            self._apply_loads(message.vm, message.loads, now)
            self.waiting[message.vm] = (now, message.waiting)
        updates = _fleet_updates(message)
        if peer.zone == self.peers.zone:
            self._apply_unreachable(message, now)
            self.reporter.note_updates(updates, now)
        for item in message.cached:
            state = self._state(item.target, item.life)
            if state is not None:
                state.cache.add(item.scope, item.parts, state.tokens(now))
        self._apply_updates(updates, now)
        for update in message.context_store_updates:
            self.on_context_store_update(peer, update)
        self._track_newer_revisions(peer, message.last_changed_revisions, now)

    @callback
    def handle_report(self, report: ZoneReport) -> None:
        """Apply a report of another VM."""
        now = self.clock.monotonic()
        peer = self.peers.record_report(report, now)
        if peer is None:
            return
        match report.scope:
            case ReportScope.ZONE:
                key = zone_key(report.zone)
                self.reporter.note_report(report, now)
            case ReportScope.OTHER_ZONES:
                key = OTHER_ZONES_KEY
        if self._needs_sum(report.scope, now):
            self._apply_loads(key, report.loads, now)
            self.waiting[key] = (now, report.waiting)
        self._apply_updates(report.updates(), now)
        self._track_newer_revisions(peer, report.last_changed_revisions, now)

    def _needs_sum(self, scope: ReportScope, now: float) -> bool:
        """Return whether the loads of a report are not known from other reports."""
        is_zone = scope is ReportScope.ZONE
        return self.peers.is_large(now) and self.reporter.is_active(now) is is_zone

    def _apply_updates(self, updates: Iterable[FleetUpdate], now: float) -> None:
        for update in updates:
            match update:
                case CrashReport(fingerprint=fingerprint, target=target, life=life):
                    self.crash_suspects.record_reported(fingerprint, target, life, now)
                case PartCrash() | PartAnswered():
                    self.part_suspects.apply(update, now)
                case LoadingTarget(target=target, life=life):
                    if (state := self._state(target, life)) is not None:
                        state.expect_weight_loading(now)
                case ObservedWeights(target=target, life=life):
                    if (state := self._state(target, life)) is not None:
                        state.learn_version(update.model, update.version, now)
                case RemovedTarget(target=target, life=life):
                    self.on_removal_confirmed(target, life)

    def _apply_loads(
        self, key: str, loads: Iterable[TargetLoad | SummedLoad], now: float
    ) -> None:
        """Replace the loads of one VM or of a sum."""
        for previous in self.targets_with_calls.get(key, ()):
            previous.peers.pop(key, None)
        found = []
        for load in loads:
            state = self._state(load.target, load.life)
            if state is None:
                continue
            found.append(state)
            state.peers[key] = PeerTargetLoad(
                calls=load.calls,
                tokens=load.tokens,
                pending_prefill_tokens=load.pending_prefill_tokens,
                at=now,
                stalled_vms=load.stalled_vms,
            )
        self.targets_with_calls[key] = found

    def _apply_unreachable(self, message: GossipMessage, now: float) -> None:
        """Apply the targets that another VM of this zone can't connect to."""
        named = [self._state(item.target, item.life) for item in message.unreachable]
        found = [state for state in named if state is not None]
        names = {state.entry.name for state in found}
        for state in self.reported_unreachable.pop(message.vm, ()):
            if state.entry.name not in names:
                state.unreachable_reports.pop(message.vm, None)
        for state in found:
            state.record_unreachable_report(message.vm, now)
        if found:
            self.reported_unreachable[message.vm] = found

    def _track_newer_revisions(
        self, peer: Peer, revisions: tuple[tuple[str, int], ...], now: float
    ) -> None:
        self._set_newer(peer, self._newer(revisions), now)

    def _newer(self, revisions: Iterable[tuple[str, int]]) -> dict[str, int]:
        """Return the revisions of the kinds of which this VM lacks changes."""
        known = self.last_changed_revisions()
        # A kind that this VM does not follow can't be taken from the other one.
        return {
            kind: revision
            for kind, revision in revisions
            if kind in known and revision > known[kind]
        }

    def _set_newer(self, peer: Peer, newer: dict[str, int], now: float) -> None:
        for kind in newer:
            self.on_behind(kind, now)
        peer.newer = newer
        if not newer:
            peer.ahead_since = None
        elif peer.ahead_since is None:
            peer.ahead_since = now

    def kinds_ahead(self, peer: Peer) -> frozenset[str]:
        """Return the kinds of which a VM has told changes that this one lacks."""
        return frozenset(self._newer(peer.newer.items()))

    @callback
    def record_fetched(self, peer: Peer, fetched: Mapping[str, int]) -> None:
        """Record that a VM was asked for all that it had told of some kinds.

        Parameters
        ----------
        fetched
            What ``newer`` held of these kinds when the VM was asked. A VM may tell of a
            later revision than its update holds, as both count removals differently.
        """
        left = {
            kind: revision
            for kind, revision in peer.newer.items()
            if fetched.get(kind) != revision
        }
        peer.newer = left
        if not left:
            peer.ahead_since = None

    def peer_to_catch_up_from(
        self, now: float, excluded: Collection[str] = ()
    ) -> Peer | None:
        """Return a VM with newer changes than this one, preferably in this zone.

        A VM that reads all kinds from the store first waits some time for the store's
        answer.

        Parameters
        ----------
        excluded
            Hosts of VMs that are not returned.
        """
        delay = CATCH_UP_DELAY_SECONDS if self._reads_all_from_store() else 0.0
        ahead = [
            peer
            for peer in self.peers.alive(now)
            if peer.ahead_since is not None
            and now - peer.ahead_since >= delay
            and peer.host not in excluded
            and self.kinds_ahead(peer)
        ]
        same_zone = [peer for peer in ahead if peer.zone == self.peers.zone]
        return self.random.choice(same_zone or ahead) if ahead else None

    def _reads_all_from_store(self) -> bool:
        return all(self.reads_store(kind) for kind in self.last_changed_revisions())

    def _state(self, target: str, life: int) -> TargetState | None:
        state = self.targets.states.get(target)
        return state if state is not None and state.entry.life == life else None


def _load(state: TargetState, now: float) -> TargetLoad:
    load = state.own_load(now)
    return TargetLoad(
        target=state.entry.name,
        life=state.entry.life,
        calls=load.calls,
        tokens=load.tokens,
        pending_prefill_tokens=load.pending_prefill_tokens,
        is_stalled=bool(load.stalled_vms),
    )


def _fleet_updates(message: GossipMessage) -> tuple[FleetUpdate, ...]:
    return (
        *message.crash_reports,
        *message.loading,
        *message.weights,
        *message.removed,
    )


def _pop_updates(updates: list[tuple[_UpdateT, int]]) -> tuple[_UpdateT, ...]:
    """Return the next updates; keep those that have to be sent again."""
    taken = updates[:MAX_UPDATES_PER_MESSAGE]
    del updates[:MAX_UPDATES_PER_MESSAGE]
    updates.extend((item, left - 1) for item, left in taken if left > 1)
    return tuple(item for item, _ in taken)
