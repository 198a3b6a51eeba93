"""Synchronizes the membership tables of two entries."""

from __future__ import annotations

from collections.abc import Callable

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.membership.const import SYNC_ATTEMPTS, SYNC_TIMEOUT_SECONDS
from gypsumsail.membership.messages import (
    Compare,
    CompareReply,
    Fetch,
    FetchReply,
    ListRead,
)
from gypsumsail.membership.models import MembershipChange
from gypsumsail.membership.port import MembershipNetwork
from gypsumsail.membership.table import MembershipTable
from gypsumsail.membership.vms import VmIncarnation, VmView
from gypsumsail.peers.port import EntryId

Publish = Callable[[tuple[MembershipChange, ...]], None]


class Synchronizer:
    """Exchanges members, VM list and leaving reports with other entries."""

    def __init__(
        self,
        table: MembershipTable,
        vms: VmView,
        network: MembershipNetwork,
        clock: Clock,
        publish: Publish,
    ) -> None:
        self.table = table
        self.vms = vms
        self.network = network
        self.clock = clock
        self.publish = publish

    def setup(self) -> list[Callable[[], None]]:
        """Start answering comparisons; return the functions that unsubscribe."""
        return [
            self.network.subscribe(Compare, self._async_on_compare),
            self.network.subscribe(Fetch, self._async_on_fetch),
            self.network.subscribe(ListRead, self._async_on_list_read),
        ]

    async def async_sync(self, partners: tuple[EntryId, ...]) -> bool:
        """Synchronize with the first partner that answers; return whether one did."""
        for partner in partners[:SYNC_ATTEMPTS]:
            try:
                await self._async_sync_with(partner)
            except TransportError:
                continue
            return True
        return False

    async def async_notify_list_read(self, relays: tuple[EntryId, ...]) -> None:
        """Notify relays that this entry has read the VM list."""
        for relay in relays:
            try:
                await self.network.async_send(
                    relay, ListRead(reading_number=self.vms.reading_number)
                )
            except TransportError:
                continue

    async def _async_sync_with(self, partner: EntryId) -> None:
        now = self.clock.monotonic()
        compare = Compare(
            members=self.table.digest().root,
            vms=self.vms.digest().root,
            leaving=self.vms.recent_leaving_reports(now),
        )
        answer = await self.network.async_request(
            partner, compare, timeout=SYNC_TIMEOUT_SECONDS
        )
        if not isinstance(answer, CompareReply):
            return
        self._apply_leaving_reports(answer.leaving)
        fetch = self._plan_fetch(answer, asked_at=now)
        if fetch is None:
            return
        asked_at = self.clock.monotonic()
        fetched = await self.network.async_request(
            partner, fetch, timeout=SYNC_TIMEOUT_SECONDS
        )
        if isinstance(fetched, FetchReply):
            self._apply_fetched(fetch, fetched, asked_at=asked_at)

    def _plan_fetch(self, answer: CompareReply, *, asked_at: float) -> Fetch | None:
        """Return the buckets to exchange.

        When the VM lists are equal but the partner's reading is newer, its time and
        number are taken over. A received age is subtracted from the time of the
        request, so that the age of a reading is never underestimated.
        """
        members: tuple[int, ...] = ()
        vms: tuple[int, ...] = ()
        if answer.members:
            members = self.table.digest().differing(answer.members)
        if answer.vms_age is not None and self.vms.is_newer(asked_at - answer.vms_age):
            vms = self._differing_vms(answer, asked_at - answer.vms_age)
        if not members and not vms:
            return None
        return Fetch(
            member_buckets=members,
            vm_buckets=vms,
            members=self.table.in_buckets(members),
        )

    def _differing_vms(self, answer: CompareReply, read_at: float) -> tuple[int, ...]:
        """Return the differing buckets; if there are none, record the newer reading."""
        if not answer.vms:
            self.vms.record_reading(
                read_at=read_at, reading_number=answer.vms_reading_number
            )
            return ()
        return self.vms.digest().differing(answer.vms)

    def _apply_fetched(
        self, fetch: Fetch, fetched: FetchReply, *, asked_at: float
    ) -> None:
        now = self.clock.monotonic()
        self.publish(self.table.merge_all(fetched.members, now=now))
        if fetch.vm_buckets and fetched.vms_age is not None:
            changes = self.vms.apply_buckets(
                fetch.vm_buckets,
                fetched.vms,
                read_at=asked_at - fetched.vms_age,
                reading_number=fetched.vms_reading_number,
                now=now,
            )
            self.publish(changes)

    def _apply_leaving_reports(self, reports: tuple[VmIncarnation, ...]) -> None:
        now = self.clock.monotonic()
        for vm in reports:
            self.publish(self.vms.mark_leaving(vm, now=now))

    async def _async_on_compare(self, peer: EntryId, request: Compare) -> CompareReply:
        self._apply_leaving_reports(request.leaving)
        now = self.clock.monotonic()
        members, vms = self.table.digest(), self.vms.digest()
        return CompareReply(
            members=b"" if members.root == request.members else members.bucket_digests,
            vms=b"" if vms.root == request.vms else vms.bucket_digests,
            vms_age=self.vms.age(now),
            leaving=self.vms.recent_leaving_reports(now),
            vms_reading_number=self.vms.reading_number,
        )

    async def _async_on_list_read(self, peer: EntryId, notice: ListRead) -> None:
        if notice.reading_number > self.vms.reading_number:
            await self.async_sync((peer,))

    async def _async_on_fetch(self, peer: EntryId, request: Fetch) -> FetchReply:
        now = self.clock.monotonic()
        self.publish(self.table.merge_all(request.members, now=now))
        return FetchReply(
            members=self.table.in_buckets(request.member_buckets),
            vms=self.vms.in_buckets(request.vm_buckets),
            vms_age=self.vms.age(now),
            vms_reading_number=self.vms.reading_number,
        )
