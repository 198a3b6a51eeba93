"""Probes other entries directly and through helpers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.membership.const import (
    FREEZE_GAP_SECONDS,
    INDIRECT_HELPERS,
    INDIRECT_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
)
from gypsumsail.membership.messages import (
    IndirectProbe,
    IndirectProbeReply,
    Probe,
    ProbeReply,
)
from gypsumsail.membership.models import Member, MembershipChange, MemberStatus
from gypsumsail.membership.port import MembershipNetwork
from gypsumsail.membership.table import MembershipTable
from gypsumsail.peers.port import EntryId

Publish = Callable[[tuple[MembershipChange, ...]], None]


class Prober:
    """Detects which entries are alive."""

    def __init__(
        self,
        table: MembershipTable,
        network: MembershipNetwork,
        clock: Clock,
        rng: random.Random,
        publish: Publish,
        partners: Callable[[], tuple[EntryId, ...]],
    ) -> None:
        self.table = table
        self.network = network
        self.clock = clock
        self.rng = rng
        self.publish = publish
        self.partners = partners
        self.partner_index = 0

    def setup(self) -> list[Callable[[], None]]:
        """Start answering probes; return the functions that unsubscribe."""
        return [
            self.network.subscribe(Probe, self._async_on_probe),
            self.network.subscribe(IndirectProbe, self._async_on_indirect_probe),
        ]

    async def async_probe_next(self) -> None:
        """Probe the next partner; suspect it when it is unreachable."""
        partners = self.partners()
        if not partners:
            return
        self.partner_index += 1
        partner = partners[self.partner_index % len(partners)]
        started = self.clock.monotonic()
        if await self._async_is_reachable(partner):
            return
        now = self.clock.monotonic()
        longest = PROBE_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS
        # A longer delay means that this process was paused, so that the failure says
        # nothing about the partner.
        if now - started < longest + FREEZE_GAP_SECONDS:
            self.publish(self.table.suspect(partner, now=now))

    async def async_probe_address(self, peer_url: str) -> None:
        """Probe the entry at an address, so that it becomes a member."""
        try:
            entry = await self.network.async_connect(peer_url)
            if entry != self.table.me.entry:
                await self.async_probe(entry)
        except TransportError:
            return

    async def async_probe(self, entry: EntryId) -> None:
        """Probe an entry; raises TransportError."""
        answer = await self.network.async_request(
            entry,
            Probe(sender=self.table.me, suspicion=self._suspicion_of(entry)),
            timeout=PROBE_TIMEOUT_SECONDS,
        )
        if isinstance(answer, ProbeReply):
            self._merge_records(answer)

    async def _async_is_reachable(self, partner: EntryId) -> bool:
        try:
            await self.async_probe(partner)
        except TransportError:
            return await self._async_is_reachable_indirectly(partner)
        return True

    async def _async_is_reachable_indirectly(self, partner: EntryId) -> bool:
        present = (member.entry for member in self.table.present())
        candidates = [entry for entry in present if entry != partner]
        helpers = self.rng.sample(candidates, min(len(candidates), INDIRECT_HELPERS))
        reached = await asyncio.gather(
            *(self._async_probe_through(helper, partner) for helper in helpers)
        )
        return any(reached)

    async def _async_probe_through(self, helper: EntryId, partner: EntryId) -> bool:
        try:
            answer = await self.network.async_request(
                helper, IndirectProbe(target=partner), timeout=INDIRECT_TIMEOUT_SECONDS
            )
        except TransportError:
            return False
        if not isinstance(answer, IndirectProbeReply) or answer.target is None:
            return False
        now = self.clock.monotonic()
        self.publish(self.table.merge(answer.target, now=now))
        return True

    async def _async_on_probe(self, peer: EntryId, probe: Probe) -> ProbeReply:
        self._merge_records(probe)
        return ProbeReply(sender=self.table.me, suspicion=self._suspicion_of(peer))

    async def _async_on_indirect_probe(
        self, peer: EntryId, request: IndirectProbe
    ) -> IndirectProbeReply:
        try:
            await self.async_probe(request.target)
        except TransportError:
            return IndirectProbeReply(target=None)
        return IndirectProbeReply(target=self.table.get(request.target))

    def _merge_records(self, message: Probe | ProbeReply) -> None:
        now = self.clock.monotonic()
        records = [message.sender]
        if message.suspicion is not None:
            records.append(message.suspicion)
        self.publish(self.table.merge_all(records, now=now))

    def _suspicion_of(self, entry: EntryId) -> Member | None:
        member = self.table.get(entry)
        if member is None or member.status is MemberStatus.ALIVE:
            return None
        return member
