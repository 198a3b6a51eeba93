"""Builders of test data for membership."""

from __future__ import annotations

from dataclasses import dataclass, field
import random

from gypsumsail.core.errors import TransportError
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.membership.models import Member, MembershipSettings, MemberStatus
from gypsumsail.object_api.port import VmRecord, VmRole, VmState
from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.port import EntryId
from gypsumsail.timeline.models import Event
from tests.peers.virtual import Hub, HubNetwork, LoopClock

ZONES = ("brest-hall", "rennes-hall", "lorient-hall")


@dataclass(slots=True, kw_only=True)
class EventList:
    """Recorder that stores all events."""

    events: list[Event] = field(default_factory=list)

    def record(self, event: Event) -> None:
        self.events.append(event)


@dataclass(slots=True, kw_only=True)
class FakeVmList:
    """VM list with records set by tests, which counts its readings."""

    records: tuple[VmRecord, ...] = ()
    down: bool = False
    reads: int = 0

    async def async_vms(self) -> tuple[VmRecord, ...]:
        if self.down:
            raise TransportError("outage", sent=True)
        self.reads += 1
        return self.records


@dataclass(slots=True, kw_only=True)
class Node:
    """One entry of a test fleet."""

    network: HubNetwork
    membership: MembershipCoordinator
    recorder: EventList

    @property
    def entry(self) -> EntryId:
        return self.network.identity.entry

    def names(self) -> set[str]:
        return {entry.name for entry in self.membership.entries()}


@dataclass(slots=True, kw_only=True)
class Fleet:
    """Entries connected by one hub."""

    hub: Hub = field(default_factory=Hub)
    vm_list: FakeVmList = field(default_factory=FakeVmList)
    nodes: dict[str, Node] = field(default_factory=dict)
    seeds: tuple[str, ...] = ("ws://e0", "ws://e1")

    def names(self) -> set[str]:
        return set(self.nodes)

    def in_zone(self, zone: str) -> set[str]:
        return {name for name, one in self.nodes.items() if one.entry.zone == zone}

    async def async_add(
        self, name: str, *, zone: str, incarnation: str = "i1", peer_url: str = ""
    ) -> Node:
        entry = EntryId(name=name, incarnation=incarnation, zone=zone)
        network = self.hub.add(entry, peer_url=peer_url)
        recorder = EventList()
        membership = MembershipCoordinator(
            MembershipSettings(seeds=self.seeds),
            vm_list=self.vm_list,
            network=network,
            recorder=recorder,
            clock=LoopClock(),
            rng=random.Random(name),
        )
        await membership.async_setup()
        node = Node(network=network, membership=membership, recorder=recorder)
        self.nodes[name] = node
        return node

    async def async_kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        self.hub.kill(node.network)
        await node.membership.async_unload()


async def async_fleet(size: int) -> Fleet:
    """Build a fleet of entries in three zones."""
    fleet = Fleet()
    for index in range(size):
        await fleet.async_add(f"e{index}", zone=ZONES[index % len(ZONES)])
    return fleet


def identity(name: str, *, incarnation: str = "i1", url: str = "") -> Identity:
    """Build the identity of an entry."""
    entry = EntryId(name=name, incarnation=incarnation, zone="z1")
    return Identity(entry=entry, peer_url=url or f"ws://{name}")


def member(
    name: str, status: MemberStatus = MemberStatus.ALIVE, *, counter: int = 0
) -> Member:
    """Build the member record of an entry."""
    who = identity(name)
    return Member(
        entry=who.entry, peer_url=who.peer_url, status=status, counter=counter
    )


def vm(
    vm_id: str,
    *,
    incarnation: str = "v1",
    state: VmState = VmState.LIVE,
    role: VmRole = VmRole.ENGINE,
    service: str = "claims",
) -> VmRecord:
    """Build a record of the VM list."""
    return VmRecord(
        vm_id=vm_id,
        incarnation=incarnation,
        zone="z1",
        role=role,
        service=service,
        state=state,
        url=f"http://{vm_id}",
    )


def listed_entry(node: Node) -> VmRecord:
    """Build the VM list record of an entry."""
    return VmRecord(
        vm_id=node.entry.name,
        incarnation=node.entry.incarnation,
        zone=node.entry.zone,
        role=VmRole.ENTRY,
        service="",
        state=VmState.LIVE,
        url="",
        peer_url=node.network.identity.peer_url,
    )
