"""Test of documents over real connections on loopback."""

from __future__ import annotations

import asyncio
import random

from gypsumsail.core.clock import SystemClock
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.membership.models import MembershipSettings
from gypsumsail.peers.network import WebsocketPeerNetwork
from tests.documents.common import SERVICE, FakeObjectApi, parse, text
from tests.membership.common import ZONES, EventList, FakeVmList
from tests.peers.common import async_until, entry_id, network


class _Entry:
    def __init__(self, links: WebsocketPeerNetwork, api: FakeObjectApi) -> None:
        self.links = links
        self.membership: MembershipCoordinator
        self.documents: DocumentsCoordinator
        self.api = api

    async def async_setup(self, seeds: tuple[str, ...], vm_list: FakeVmList) -> None:
        await self.links.async_setup()
        clock, recorder, rng = SystemClock(), EventList(), random.Random(1)
        self.membership = MembershipCoordinator(
            MembershipSettings(seeds=seeds),
            vm_list=vm_list,
            network=self.links,
            recorder=recorder,
            clock=clock,
            rng=rng,
        )
        self.documents = DocumentsCoordinator(
            self.api,
            self.links,
            self.membership,
            recorder,
            clock,
            parse=parse,
            rng=rng,
        )
        await self.membership.async_setup()
        await self.documents.async_setup()

    async def async_unload(self) -> None:
        await self.documents.async_unload()
        await self.membership.async_unload()
        await self.links.async_unload()

    def text_in_force(self) -> str:
        known = self.documents.in_force(SERVICE)
        return "" if known is None else known.text


async def test_documents_reach_all_and_a_restarted_entry_in_an_outage() -> None:
    api, vm_list = FakeObjectApi(), FakeVmList()
    entries: list[_Entry] = []

    async def async_start(name: str, zone: str) -> None:
        seeds = tuple(entry.links.peer_url for entry in entries[:2])
        entries.append(_Entry(network(entry_id(name, zone=zone)), api))
        await entries[-1].async_setup(seeds, vm_list)

    def all_have(expected_text: str) -> bool:
        members = {len(entry.membership.entries()) for entry in entries}
        return members == {len(entries)} and {
            one.text_in_force() for one in entries
        } == {expected_text}

    try:
        for index in range(5):
            await async_start(f"e{index}", ZONES[index % 2])
        api.write("one")
        await async_until(lambda: all_have(text("one")))
        api.down = vm_list.down = True
        await entries.pop().async_unload()
        await async_start("e4-new", ZONES[0])
        await async_until(lambda: all_have(text("one")))
        report = await entries[0].documents.async_collect_reports(timeout=5.0)
        assert len(report.entries) == len(entries)
        assert report.unanswered == ("e4",)
    finally:
        await asyncio.gather(*(entry.async_unload() for entry in entries))
