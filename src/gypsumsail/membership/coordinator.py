"""Keeps the membership view of one entry up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import logging
import random

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.membership.const import (
    ISOLATION_SECONDS,
    LIST_CHECK_SECONDS,
    LIST_TIMEOUT_SECONDS,
    PROBE_INTERVAL_SECONDS,
    REJOIN_ATTEMPTS,
    REJOIN_INTERVAL_SECONDS,
    REJOIN_ISOLATED_INTERVAL_SECONDS,
    SWEEP_INTERVAL_SECONDS,
    SYNC_INTERVAL_SECONDS,
)
from gypsumsail.membership.duties import (
    Duties,
    assign_duties,
    is_list_reader,
    sync_partners,
)
from gypsumsail.membership.events import event_of
from gypsumsail.membership.models import (
    EntryJoined,
    EntryLost,
    Member,
    MembershipChange,
    MembershipSettings,
)
from gypsumsail.membership.port import MembershipNetwork
from gypsumsail.membership.probing import Prober
from gypsumsail.membership.sync import Synchronizer
from gypsumsail.membership.table import MembershipTable
from gypsumsail.membership.vms import VmIncarnation, VmView
from gypsumsail.object_api.port import VmList, VmRecord
from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.port import EntryId
from gypsumsail.timeline.port import Recorder

_LOGGER = logging.getLogger(__name__)

Listener = Callable[[MembershipChange], None]


class MembershipCoordinator:
    """Entries, targets and stores of the deployment, as this entry sees them."""

    def __init__(
        self,
        settings: MembershipSettings,
        *,
        vm_list: VmList,
        network: MembershipNetwork,
        recorder: Recorder,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.vm_list = vm_list
        self.network = network
        self.recorder = recorder
        self.clock = clock
        self.rng = rng
        self.table = MembershipTable(network.identity, now=clock.monotonic())
        self.vms = VmView()
        self.listeners: list[Listener] = []
        self.synced_at = clock.monotonic()
        self.round_number = 0
        self.prober = Prober(
            self.table,
            network,
            clock,
            rng,
            self.publish,
            lambda: self.duties().probe_partners,
        )
        self.synchronizer = Synchronizer(
            self.table, self.vms, network, clock, self.publish
        )
        self._duties: Duties | None = None
        self._duties_revision = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Start discovering and probing the other entries."""
        self.table.set_address(self.network.identity.peer_url)
        self._unsubscribe = [
            self.network.subscribe_connected(self._on_entry_verified),
            *self.prober.setup(),
            *self.synchronizer.setup(),
        ]
        self._tasks = [
            asyncio.create_task(self._async_repeat(step, interval))
            for step, interval in (
                (self._async_sweep, lambda: SWEEP_INTERVAL_SECONDS),
                (self._async_rejoin, self._rejoin_interval),
                (self._async_read_list, lambda: LIST_CHECK_SECONDS),
                (self._async_sync, lambda: SYNC_INTERVAL_SECONDS),
                (self.prober.async_probe_next, lambda: PROBE_INTERVAL_SECONDS),
            )
        ]

    async def async_unload(self) -> None:
        """Stop all background tasks and subscriptions."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for unsubscribe in self._unsubscribe:
            unsubscribe()

    @callback
    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Report each change to a listener; return a function that unsubscribes it."""
        self.listeners.append(listener)
        return lambda: self.listeners.remove(listener)

    @callback
    def entries(self) -> tuple[EntryId, ...]:
        """Return the entries that are not believed dead, including this one."""
        others = (member.entry for member in self.table.present())
        return (self.table.me.entry, *others)

    @callback
    def zone_entries(self) -> tuple[EntryId, ...]:
        """Return the entries of this entry's zone, including this one."""
        zone = self.table.me.entry.zone
        return tuple(entry for entry in self.entries() if entry.zone == zone)

    @callback
    def missing_entries(self) -> tuple[str, ...]:
        """Return the names of entries that are expected but absent.

        These are entries of the platform's list whose address neither this entry nor a
        present member has, and dead entries. A dead entry is reported until another
        incarnation has its name, or until a later reading lists this entry but not the
        dead one.
        """
        present = (self.table.me, *self.table.present())
        urls = {member.peer_url for member in present}
        names = {member.entry.name for member in present}
        listed = {vm.vm_id for vm in self.vms.entries() if vm.peer_url not in urls}
        dead = {
            entry.name
            for entry, member in self.table.members.items()
            if not member.is_present and not self._is_unlisted(member)
        }
        return tuple(sorted(listed | (dead - names)))

    def _is_unlisted(self, member: Member) -> bool:
        urls = {vm.peer_url for vm in self.vms.entries()}
        if self.vms.read_at is None or self.table.me.peer_url not in urls:
            return False
        read_since = self.vms.read_at > self.table.status_since[member.entry]
        return read_since and member.peer_url not in urls

    @callback
    def targets(self, service: str) -> tuple[VmRecord, ...]:
        """Return the targets of a service that may get new work."""
        return self.vms.targets(service)

    @callback
    def stores(self, service: str) -> tuple[VmRecord, ...]:
        """Return the stores of a service that are not leaving."""
        return self.vms.stores(service)

    @callback
    def mark_leaving(self, vm_id: str, incarnation: str) -> None:
        """Record a target's own report that it is leaving, and publish it."""
        vm = VmIncarnation(vm_id=vm_id, incarnation=incarnation)
        self.publish(self.vms.mark_leaving(vm, now=self.clock.monotonic()))

    @callback
    def calls_platform(self, now: float) -> bool:
        """Return whether this entry calls the platform itself, not through a relay.

        It does so when it is a relay, or when it has not synchronized with any entry
        for `ISOLATION_SECONDS`. Readings of the VM list are usually assigned
        separately; see `is_list_reader`.
        """
        is_isolated = now - self.synced_at > ISOLATION_SECONDS
        return is_isolated or self.duties().is_relay

    @callback
    def duties(self) -> Duties:
        """Return the duties of this entry with the present members."""
        if self._duties is None or self._duties_revision != self.table.revision:
            self._duties_revision = self.table.revision
            self._duties = assign_duties(
                self.table.me.entry,
                alive=[member.entry for member in self.table.alive()],
                present=[member.entry for member in self.table.present()],
            )
        return self._duties

    @callback
    def sync_partners(self, round_number: int) -> tuple[EntryId, ...]:
        """Return the entries to compare tables with, in order of preference."""
        return sync_partners(self.duties(), round_number=round_number, rng=self.rng)

    @callback
    def publish(self, changes: tuple[MembershipChange, ...]) -> None:
        """Report changes to the timeline and the listeners."""
        if any(isinstance(change, EntryJoined | EntryLost) for change in changes):
            self._update_addresses()
        for change in changes:
            event = event_of(change)
            if event is not None:
                self.recorder.record(event)
            for listener in tuple(self.listeners):
                listener(change)

    def _update_addresses(self) -> None:
        self.network.set_addresses(
            {member.entry: member.peer_url for member in self.table.present()}
        )

    def _on_entry_verified(self, identity: Identity) -> None:
        if identity.entry == self.table.me.entry:
            return
        self.publish(self.table.add_verified(identity, now=self.clock.monotonic()))

    async def _async_sweep(self) -> None:
        self.publish(self.table.sweep(now=self.clock.monotonic()))

    def _rejoin_interval(self) -> float:
        alone = not self.table.present()
        return REJOIN_ISOLATED_INTERVAL_SECONDS if alone else REJOIN_INTERVAL_SECONDS

    async def _async_rejoin(self) -> None:
        """Probe known addresses that belong to no present member."""
        known = {member.peer_url for member in self.table.present()}
        known.add(self.table.me.peer_url)
        listed = (vm.peer_url for vm in self.vms.entries())
        gone = (member.peer_url for member in self.table.members.values())
        urls = {*self.settings.seeds, *listed, *gone} - known
        chosen = self.rng.sample(sorted(urls), min(len(urls), REJOIN_ATTEMPTS))
        await asyncio.gather(*(self.prober.async_probe_address(url) for url in chosen))

    async def _async_read_list(self) -> None:
        asked_at = self.clock.monotonic()
        if not self._should_read_list(asked_at):
            return
        async with asyncio.timeout(LIST_TIMEOUT_SECONDS):
            records = await self.vm_list.async_vms()
        now = self.clock.monotonic()
        self.publish(self.vms.apply_reading(records, read_at=asked_at, now=now))
        await self.synchronizer.async_notify_list_read(self.duties().local_relays)

    def _should_read_list(self, now: float) -> bool:
        age = self.vms.age(now)
        if age is None or now - self.synced_at > ISOLATION_SECONDS:
            return self.calls_platform(now)
        duties = self.duties()
        me = self.table.me.entry
        return is_list_reader(
            me,
            (me, *duties.zone_peers),
            reading_number=self.vms.reading_number,
            age=age,
        )

    async def _async_sync(self) -> None:
        self.round_number += 1
        if await self.synchronizer.async_sync(self.sync_partners(self.round_number)):
            self.synced_at = self.clock.monotonic()

    async def _async_repeat(
        self, step: Callable[[], Awaitable[None]], interval: Callable[[], float]
    ) -> None:
        while True:
            try:
                await step()
            except (TransportError, TimeoutError) as error:
                _LOGGER.debug("Membership step failed: %s", error)
            except Exception:
                _LOGGER.exception("Membership step failed")
            await asyncio.sleep(interval() * self.rng.uniform(0.9, 1.1))
