"""Probes other entries, directly and through others."""

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
from gypsumsail.membership.messages import Probe, Probed, ProbedFor, ProbeFor
from gypsumsail.membership.models import Member, MembershipChange, MemberStatus
from gypsumsail.membership.port import MembershipNetwork
from gypsumsail.membership.table import MembershipTable
from gypsumsail.peers.port import EntryId

Publish = Callable[[tuple[MembershipChange, ...]], None]


class Prober:
    """Finds out which entries are alive."""

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
        self.turn = 0

    def setup(self) -> list[Callable[[], None]]:
        """Answer probes; return the functions that end it."""
        return [
            self.network.subscribe(Probe, self._async_probed),
            self.network.subscribe(ProbeFor, self._async_probe_for),
        ]

    async def async_probe_next(self) -> None:
        """Probe the next partner; suspect it when nobody reaches it."""
        partners = self.partners()
        if not partners:
            return
        self.turn += 1
        partner = partners[self.turn % len(partners)]
        started = self.clock.monotonic()
        if await self._async_reaches(partner):
            return
        now = self.clock.monotonic()
        longest = PROBE_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS
        if now - started < longest + FREEZE_GAP_SECONDS:
            self.publish(self.table.suspect(partner, now=now))

    async def async_try(self, peer_url: str) -> None:
        """Look who answers at an address and make it a member."""
        try:
            entry = await self.network.async_meet(peer_url)
            if entry != self.table.me.entry:
                await self.async_probe(entry)
        except TransportError:
            return

    async def async_probe(self, entry: EntryId) -> None:
        """Probe an entry; raises TransportError."""
        answer = await self.network.async_request(
            entry,
            Probe(sender=self.table.me, believed=self._doubt(entry)),
            timeout=PROBE_TIMEOUT_SECONDS,
        )
        if isinstance(answer, Probed):
            self._take(answer)

    async def _async_reaches(self, partner: EntryId) -> bool:
        try:
            await self.async_probe(partner)
        except TransportError:
            return await self._async_reaches_through(partner)
        return True

    async def _async_reaches_through(self, partner: EntryId) -> bool:
        present = (member.entry for member in self.table.present())
        able = [entry for entry in present if entry != partner]
        helpers = self.rng.sample(able, min(len(able), INDIRECT_HELPERS))
        reached = await asyncio.gather(
            *(self._async_ask(helper, partner) for helper in helpers)
        )
        return any(reached)

    async def _async_ask(self, helper: EntryId, partner: EntryId) -> bool:
        try:
            answer = await self.network.async_request(
                helper, ProbeFor(target=partner), timeout=INDIRECT_TIMEOUT_SECONDS
            )
        except TransportError:
            return False
        if not isinstance(answer, ProbedFor) or answer.target is None:
            return False
        now = self.clock.monotonic()
        self.publish(self.table.merge(answer.target, now=now))
        return True

    async def _async_probed(self, peer: EntryId, probe: Probe) -> Probed:
        self._take(probe)
        return Probed(sender=self.table.me, believed=self._doubt(peer))

    async def _async_probe_for(self, peer: EntryId, request: ProbeFor) -> ProbedFor:
        try:
            await self.async_probe(request.target)
        except TransportError:
            return ProbedFor(target=None)
        return ProbedFor(target=self.table.get(request.target))

    def _take(self, words: Probe | Probed) -> None:
        now = self.clock.monotonic()
        records = [words.sender]
        if words.believed is not None:
            records.append(words.believed)
        self.publish(self.table.merge_all(records, now=now))

    def _doubt(self, entry: EntryId) -> Member | None:
        member = self.table.get(entry)
        if member is None or member.status is MemberStatus.ALIVE:
            return None
        return member
