"""Exchanges reports on context stores with other VMs, and applies them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from math import inf

from gypsumsail.context_stores.agreement import Saver, StoreAgreement
from gypsumsail.context_stores.const import (
    LARGE_REPORT_INTERVAL_SECONDS,
    MAX_REPORTED_SAVES,
    MAX_REPORTS_PER_MESSAGE,
    MAX_SAVING_STORES,
    PERMISSION_SECONDS,
    RELAY_MEMORY_SECONDS,
    REPORT_INTERVAL_SECONDS,
    REPORT_REPEAT_SECONDS,
    SAVE_END_SECONDS,
)
from gypsumsail.context_stores.savers import UNKNOWN_START, Savers
from gypsumsail.context_stores.store_view import PartKey, StoreView
from gypsumsail.core.callback import callback
from gypsumsail.core.rendezvous import rank
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.const import DEFAULT_TIMEOUT_SECONDS
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import Address, CallKind, ContextStore, RoutingDocument
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.gossip.store_messages import (
    NO_RELAY,
    NO_VIEW,
    StoreReport,
    StoreReports,
    VmStart,
)

MAX_REMEMBERED_UPDATES = 64
"""Maximum number of updates whose number of changes is remembered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SavePermission:
    """What the VM that relays a store says of saves to it."""

    host: str
    life: int
    may_save: bool
    received_at: float


@dataclass(slots=True)
class FollowedStore:
    """A store, what is agreed on it, and what was told of it.

    Attributes
    ----------
    permission
        Latest permission of the VM that relays the store; ``None`` before one came.
    update_numbers
        Sequence number of each of the latest updates to followers, and the number of
        the last change that they contain.
    sent, sent_at
        Latest report by host, and the time at which it was sent.
    polled_at
        Latest time at which this VM polled the store.
    relay_hosts
        Latest time at which the store was followed by each VM that relays it.
    """

    agreement: StoreAgreement
    permission: SavePermission | None = None
    update_numbers: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_REMEMBERED_UPDATES)
    )
    sent: dict[str, StoreReport] = field(default_factory=dict)
    sent_at: dict[str, float] = field(default_factory=dict)
    polled_at: float = -inf
    relay_hosts: dict[str, float] = field(default_factory=dict)

    def is_due(
        self, host: str, report: StoreReport, interval: float, now: float
    ) -> bool:
        """Return whether a report is sent to a host now."""
        waited = now - self.sent_at.get(host, -inf)
        if self.sent.get(host) == report:
            return waited >= REPORT_REPEAT_SECONDS
        return waited >= interval

    def former_relays(self, relay_host: str, now: float) -> list[str]:
        """Return the VMs by which the store was followed before the present one.

        They report on behalf of this VM until they hear that another one does.
        """
        self.relay_hosts[relay_host] = now
        for host, at in list(self.relay_hosts.items()):
            if now - at > RELAY_MEMORY_SECONDS:
                del self.relay_hosts[host]
        allowed = self.permission
        if allowed is None or allowed.host != relay_host:
            return []
        return [host for host in self.relay_hosts if host != relay_host]

    def change_number(self, sequence_number: int) -> int | None:
        """Return the number of the last change in the updates up to one of them."""
        found = [
            number
            for sequence, number in self.update_numbers
            if sequence <= sequence_number
        ]
        return max(found, default=None)


class ReportExchange:
    """Reports of this VM and of others on all stores.

    Attributes
    ----------
    polls_store
        Returns whether this VM polls a store itself.
    longest_save
        Longest time in seconds for which a save may be on its way.
    had_former_life
        Whether the VM may have run before, and sent saves that still go on.
    started_at, started_at_ms
        Start of the process, and the same by the clock of the VM in Unix milliseconds.
    send
        Sends reports to hosts.
    on_confirmed
        Called with a view, the parts that were confirmed, and the longest time in
        seconds for which one of them has waited for that.
    """

    def __init__(
        self,
        peers: PeerTable,
        polls_store: Callable[[ContextStore], bool],
        is_relayed: Callable[[ContextStore, float], bool],
    ) -> None:
        self.peers = peers
        self.polls_store = polls_store
        self.is_relayed = is_relayed
        self.savers = Savers(peers, is_relayed)
        self.stores: dict[Address, FollowedStore] = {}
        self.stores_by_name: dict[str, FollowedStore] = {}
        self.longest_save = 0.0
        self.had_former_life = False
        self.started_at = -inf
        self.started_at_ms = 0
        self.send: Callable[[StoreReports, list[str]], None] = lambda message, hosts: (
            None
        )
        self.on_confirmed: Callable[[StoreView, Sequence[PartKey], float], None] = (
            lambda view, keys, waited: None
        )

    @callback
    def set_longest_call(self, document: RoutingDocument) -> None:
        """Apply the longest time for which a call may wait at an engine."""
        timeouts = [
            route.timeout or DEFAULT_TIMEOUT_SECONDS
            for route in document.routes
            if route.kind is CallKind.STREAM
        ]
        # A call that was accepted under an earlier document may still wait.
        longest = max(timeouts, default=0.0) + SAVE_END_SECONDS
        self.longest_save = max(self.longest_save, longest)

    @callback
    def add(self, view: StoreView) -> None:
        """Exchange reports on a store."""
        found = FollowedStore(StoreAgreement(view))
        self.stores[view.store.address] = found
        self.stores_by_name[str(view.store.address)] = found

    @callback
    def remove(self, address: Address) -> None:
        """Exchange no more reports on a store."""
        del self.stores[address]
        del self.stores_by_name[str(address)]

    @callback
    def record_save(
        self, view: StoreView, key: PartKey, job: Job, assignment: Assignment
    ) -> None:
        """Record a save that is about to be sent."""
        agreement = self.stores[view.store.address].agreement
        agreement.pending_saves.add(key, job, assignment)

    @callback
    def record_first_token(self, assignment: Assignment, now: float) -> None:
        """Record that an engine has read the prompt of a call."""
        for found in self.stores.values():
            found.agreement.pending_saves.record_first_token(assignment, now)

    def may_save(self, view: StoreView, now: float) -> bool:
        """Return whether parts may be saved to a store."""
        found = self.stores[view.store.address]
        if not view.relay_vm:
            return found.agreement.may_save(self._savers(view, now), now)
        allowed = found.permission
        return (
            allowed is not None
            and allowed.may_save
            and allowed.life == view.life
            and now - allowed.received_at < PERMISSION_SECONDS
        )

    def polling_peers(self, store: ContextStore, now: float) -> list[Peer]:
        """Return the live VMs that probably poll a store."""
        peers = self.peers.alive(now)
        if self.is_relayed(store, now):
            peers = self.savers.expected_pollers(store, now)
        return [peer for peer in peers if peer.reads_store_reports]

    def is_saved_elsewhere(self, view: StoreView, key: PartKey) -> bool:
        """Return whether another VM has a save of a part on its way."""
        return self.stores[view.store.address].agreement.is_saved_elsewhere(key)

    def wants_list(self, view: StoreView) -> bool:
        """Return whether a store has to be listed again."""
        return self.stores[view.store.address].agreement.wants_list

    @callback
    def record_list(self, view: StoreView) -> None:
        """Record that a store was listed."""
        agreement = self.stores[view.store.address].agreement
        agreement.wants_list = False
        agreement.differs_since = None

    @callback
    def record_update(self, view: StoreView, sequence_number: int) -> None:
        """Record an update to followers that contains all changes until now."""
        found = self.stores[view.store.address]
        found.update_numbers.append((sequence_number, view.next_number))

    def _savers(self, view: StoreView, now: float) -> list[Saver]:
        agreement = self.stores[view.store.address].agreement
        found = self.savers.of_store(
            view.store, agreement.reports, self.longest_save, now
        )
        agreement.forget_except({saver.vm_start for saver in found})
        if self._former_saves_seconds(now):
            found.append(Saver(vm_start=(self.peers.host, UNKNOWN_START), ended_at=now))
        return found

    def _former_saves_seconds(self, now: float) -> float:
        """Return the seconds for which saves of earlier lives of this VM may go on."""
        if not self.had_former_life:
            return 0.0
        return max(self.started_at + self.longest_save - now, 0.0)

    @callback
    def confirm_parts(self, view: StoreView, now: float) -> None:
        """Confirm the parts of a polled store that no VM can still save."""
        if view.relay_vm or view.life is None or not view.unconfirmed:
            return
        agreement = self.stores[view.store.address].agreement
        savers = self._savers(view, now)
        keys = agreement.fetchable_parts(savers, self.longest_save, now)
        self.confirm(view, keys, now)

    @callback
    def confirm(self, view: StoreView, keys: Sequence[PartKey], now: float) -> None:
        """Let parts be fetched from a store."""
        if not keys:
            return
        waited = now - min(view.unconfirmed[key].known_at for key in keys)
        for key in keys:
            view.confirm(key)
        self.on_confirmed(view, keys, waited)

    @callback
    def handle(self, message: StoreReports, now: float) -> None:
        """Apply the reports of another VM."""
        if message.host == self.peers.host:
            return
        self.savers.record(message, self.longest_save, now)
        for report in message.reports:
            found = self.stores_by_name.get(report.store)
            if found is not None:
                self._handle(found, message.vm_start, report, now)

    def _handle(
        self, found: FollowedStore, vm_start: VmStart, report: StoreReport, now: float
    ) -> None:
        view = found.agreement.view
        host, _ = vm_start
        if report.relay_vm:
            if report.relay_vm == self.peers.vm and not view.relay_vm:
                self._handle_follower(found, vm_start, report, now)
            else:
                self.savers.remove(report.store, vm_start)
            return
        peer = self.peers.peers.get(host)
        if view.relay_vm:
            if peer is not None and peer.vm == view.relay_vm:
                found.permission = SavePermission(
                    host=host,
                    life=report.life,
                    may_save=report.may_save,
                    received_at=now,
                )
                found.agreement.saving_elsewhere = frozenset(report.saving)
            return
        self.savers.record_poller(report.store, vm_start, now)
        found.agreement.record(vm_start, report, now)
        self.confirm_parts(view, now)

    def _handle_follower(
        self, found: FollowedStore, vm_start: VmStart, report: StoreReport, now: float
    ) -> None:
        """Apply the report of a VM that follows a store by this one, and reply."""
        view = found.agreement.view
        self.savers.record_follower(report.store, vm_start, now)
        number = found.change_number(report.number)
        if number is not None and number in view.digests:
            found.agreement.record(
                vm_start,
                replace(report, number=number, digest=view.digests[number]),
                now,
            )
            self.confirm_parts(view, now)
        own = self._own_report(found, now)
        if own is not None:
            self._send([vm_start[0]], [own], now)

    @callback
    def tick(self, now: float) -> None:
        """Confirm what can be confirmed, and send the reports that are due."""
        interval = REPORT_INTERVAL_SECONDS
        if self.peers.is_large(now):
            interval = LARGE_REPORT_INTERVAL_SECONDS
        for found in self.stores.values():
            self.confirm_parts(found.agreement.view, now)
        self._send_due(list(self.stores.values()), interval, now)

    @callback
    def announce_saves(self, views: Iterable[StoreView], now: float) -> None:
        """Tell of saves that are about to be sent."""
        stores = [self.stores[view.store.address] for view in views]
        self._send_due(stores, 0.0, now)

    def _send_due(
        self, stores: Iterable[FollowedStore], interval: float, now: float
    ) -> None:
        by_host: dict[str, list[StoreReport]] = {}
        followed = self._followed_for_saves()
        for found in stores:
            is_followed = found.agreement.view.store.name in followed
            report, hosts = self._outgoing(found, now, is_followed=is_followed)
            if report is None:
                continue
            for host in hosts:
                if found.is_due(host, report, interval, now):
                    found.sent[host], found.sent_at[host] = report, now
                    by_host.setdefault(host, []).append(report)
        by_reports: dict[tuple[StoreReport, ...], list[str]] = {}
        for host, collected in by_host.items():
            by_reports.setdefault(tuple(collected), []).append(host)
        for reports, recipients in by_reports.items():
            self._send(recipients, reports, now)

    def _outgoing(
        self, found: FollowedStore, now: float, *, is_followed: bool
    ) -> tuple[StoreReport | None, set[str]]:
        """Return the report on a store, and the hosts that it concerns."""
        view = found.agreement.view
        if self.polls_store(view.store):
            found.polled_at = now
            return self._own_report(found, now), self.savers.poller_hosts(
                view.store, now
            )
        if now - found.polled_at < self.longest_save:
            return (
                self._former_report(found, now),
                self.savers.poller_hosts(view.store, now),
            )
        relay_host = self._host_of(view.relay_vm)
        if not is_followed or relay_host is None:
            return None, set()
        report = self._follower_report(found, now)
        return report, {relay_host, *found.former_relays(relay_host, now)}

    def _own_report(self, found: FollowedStore, now: float) -> StoreReport | None:
        view = found.agreement.view
        followers = self.savers.followers_of(
            str(view.store.address), self.longest_save, now
        )
        return found.agreement.own_report(
            followers,
            now,
            may_save=bool(followers)
            and view.can_save(now)
            and self.may_save(view, now),
        )

    def _former_report(self, found: FollowedStore, now: float) -> StoreReport | None:
        """Return the report of a VM that has stopped to poll a store."""
        saving = found.agreement.reported_saves(now)
        return StoreReport(
            store=str(found.agreement.view.store.address),
            life=NO_VIEW,
            number=0,
            digest=0,
            saving=saving,
            relay_vm="" if saving else NO_RELAY,
        )

    def _follower_report(self, found: FollowedStore, now: float) -> StoreReport | None:
        view = found.agreement.view
        saving = found.agreement.reported_saves(now)
        if view.life is None or len(saving) > MAX_REPORTED_SAVES:
            return None
        return StoreReport(
            store=str(view.store.address),
            life=view.life,
            number=max(view.next_number - 1, 0),
            digest=0,
            saving=saving,
            relay_vm=view.relay_vm,
        )

    def _host_of(self, vm: str) -> str | None:
        hosts = (peer.host for peer in self.peers.peers.values() if peer.vm == vm)
        return next(hosts, None) if vm else None

    def _followed_for_saves(self) -> set[str]:
        """Return the names of the stores to which this VM may save by another one."""
        zones = {
            found.agreement.view.store.name: found.agreement.view.store.zone
            for found in self.stores.values()
            if not self.polls_store(found.agreement.view.store)
        }
        ranked = sorted(
            rank(self.peers.vm, list(zones)),
            key=lambda name: zones[name] != self.peers.zone,
        )
        return set(ranked[:MAX_SAVING_STORES])

    def _send(
        self, hosts: list[str], reports: Sequence[StoreReport], now: float
    ) -> None:
        former_saves_ms = self._former_saves_seconds(now) * MILLISECONDS_PER_SECOND
        for first in range(0, len(reports), MAX_REPORTS_PER_MESSAGE):
            message = StoreReports(
                host=self.peers.host,
                started_at_ms=self.started_at_ms,
                former_saves_ms=round(former_saves_ms),
                reports=tuple(reports[first : first + MAX_REPORTS_PER_MESSAGE]),
            )
            self.send(message, hosts)
