"""Tests of fleets of entries under failures, in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable

from gypsumsail.membership.duties import probe_partners
from gypsumsail.object_api.port import VmList, VmRecord, VmState
from gypsumsail.timeline.models import EventKind
from tests.membership.common import (
    ZONES,
    FakeVmList,
    Fleet,
    Node,
    async_fleet,
    listed_entry,
    vm,
)
from tests.peers.virtual import run_virtual

SETTLE_SECONDS = 30.0


def _lost(nodes: Iterable[Node]) -> list[str]:
    events = [event for node in nodes for event in node.recorder.events]
    return [one.detail for one in events if one.kind is EventKind.PEER_LOST]


async def _async_settled(size: int) -> Fleet:
    fleet = await async_fleet(size)
    await asyncio.sleep(SETTLE_SECONDS)
    assert all(node.names() == fleet.names() for node in fleet.nodes.values())
    return fleet


def test_entries_discover_each_other_and_remove_a_dead_entry() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(9)
        await fleet.async_kill("e3")
        await asyncio.sleep(SETTLE_SECONDS)
        for node in fleet.nodes.values():
            assert node.names() == fleet.names()
            assert len(_lost([node])) == 1

    run_virtual(async_main())


def test_restart_at_the_same_address_replaces_the_old_incarnation() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(7)
        await fleet.async_kill("e3")
        await fleet.async_add("e3", zone=ZONES[0], incarnation="i2")
        await asyncio.sleep(SETTLE_SECONDS)
        for node in fleet.nodes.values():
            entries = [one for one in node.membership.entries() if one.name == "e3"]
            assert [entry.incarnation for entry in entries] == ["i2"]

    run_virtual(async_main())


def test_one_way_partition_causes_no_false_death() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(7)
        first = fleet.nodes["e0"]
        partner = probe_partners(first.entry, first.membership.entries())[0]
        fleet.hub.cuts.add(("e0", partner.name))
        await asyncio.sleep(4 * SETTLE_SECONDS)
        tables = [node.membership.table for node in fleet.nodes.values()]
        assert [table.me.counter for table in tables] == [0] * len(tables)
        fleet.hub.cuts |= {("e1", "e2"), ("e4", "e2"), ("e5", "e0")}
        await asyncio.sleep(4 * SETTLE_SECONDS)
        assert not _lost(fleet.nodes.values())

    run_virtual(async_main())


def test_partitioned_zone_continues_and_rejoins_without_false_deaths() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(9)
        inside = fleet.in_zone(ZONES[0])
        outside = fleet.names() - inside
        fleet.hub.cut(inside, outside)
        await asyncio.sleep(4 * SETTLE_SECONDS)
        for name, node in fleet.nodes.items():
            assert node.names() == (inside if name in inside else outside)
        fleet.hub.cuts.clear()
        before = len(_lost(fleet.nodes.values()))
        await asyncio.sleep(4 * SETTLE_SECONDS)
        assert all(node.names() == fleet.names() for node in fleet.nodes.values())
        assert len(_lost(fleet.nodes.values())) == before

    run_virtual(async_main())


def test_whole_zone_replaced_while_the_platform_is_down() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(9)
        fleet.vm_list.records = (vm("t1"), vm("t2"))
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.vm_list.down = True
        for name in sorted(fleet.in_zone(ZONES[2])):
            await fleet.async_kill(name)
            await fleet.async_add(f"{name}-new", zone=ZONES[2])
        await asyncio.sleep(SETTLE_SECONDS)
        for node in fleet.nodes.values():
            assert node.names() == fleet.names()
            assert len(node.membership.targets("claims")) == 2

    run_virtual(async_main())


def test_leaving_target_gets_no_new_work_within_five_seconds() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(12)
        fleet.vm_list.records = (vm("t1"), vm("t2"), vm("t3"))
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.vm_list.records = (vm("t1", state=VmState.LEAVING), vm("t2"), vm("t3"))
        fleet.nodes["e5"].membership.mark_leaving("t2", "v1")
        await asyncio.sleep(5.0)
        for node in fleet.nodes.values():
            targets = node.membership.targets("claims")
            assert [record.vm_id for record in targets] == ["t3"]

    run_virtual(async_main())


def test_missing_entry_is_reported_until_the_list_omits_it() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(6)
        listed = {name: listed_entry(node) for name, node in fleet.nodes.items()}
        fleet.vm_list.records = tuple(listed.values())
        await asyncio.sleep(SETTLE_SECONDS)
        assert not fleet.nodes["e0"].membership.missing_entries()
        await fleet.async_kill("e3")
        await asyncio.sleep(SETTLE_SECONDS)
        fleet.vm_list.down = True
        del listed["e3"]
        fleet.vm_list.records = tuple(listed.values())
        await asyncio.sleep(SETTLE_SECONDS)
        assert fleet.nodes["e0"].membership.missing_entries() == ("e3",)
        fleet.vm_list.down = False
        await asyncio.sleep(SETTLE_SECONDS)
        assert not fleet.nodes["e0"].membership.missing_entries()

    run_virtual(async_main())


def test_entries_of_a_zone_take_turns_in_reading_the_list() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(30)
        readers: Counter[str] = Counter()
        for name, node in fleet.nodes.items():
            node.membership.vm_list = _CountingVmList(fleet.vm_list, name, readers)
        for _ in range(240):
            await asyncio.sleep(0.5)
            assert _oldest_reading(fleet) < 4.0
        assert readers.total() / 120.0 < 7.0
        assert readers.keys() == fleet.names()
        assert max(readers.values()) < readers.total() / 6

    run_virtual(async_main())


def _oldest_reading(fleet: Fleet) -> float:
    now = asyncio.get_running_loop().time()
    ages = [node.membership.vms.age(now) for node in fleet.nodes.values()]
    return max(SETTLE_SECONDS if age is None else age for age in ages)


class _CountingVmList:
    def __init__(self, inner: VmList, name: str, readers: Counter[str]) -> None:
        self.inner = inner
        self.name = name
        self.readers = readers

    async def async_vms(self) -> tuple[VmRecord, ...]:
        self.readers[self.name] += 1
        return await self.inner.async_vms()


def test_other_entries_read_the_list_when_the_assigned_readers_fail() -> None:
    async def async_main() -> None:
        fleet = await _async_settled(9)
        for name in ("e0", "e1", "e2", "e3", "e4"):
            fleet.nodes[name].membership.vm_list = FakeVmList(down=True)
        fleet.vm_list.records = (vm("t1"),)
        await asyncio.sleep(SETTLE_SECONDS)
        for _ in range(3):
            await asyncio.sleep(SETTLE_SECONDS)
            assert _oldest_reading(fleet) < 5.0
            for node in fleet.nodes.values():
                assert len(node.membership.targets("claims")) == 1

    run_virtual(async_main())
