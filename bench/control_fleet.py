"""Control plane of many entries in one process, with the platform's stand-in."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
import itertools
import random
from typing import Any, Final

import httpx

from gypsumsail.core.clock import SystemClock
from gypsumsail.document.models import DocumentInForce
from gypsumsail.document.parser import parse_document
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.membership.coordinator import MembershipCoordinator
from gypsumsail.membership.duties import zone_relays
from gypsumsail.membership.models import MembershipSettings
from gypsumsail.object_api.http import HttpPlatform
from gypsumsail.peers.network import WebsocketPeerNetwork
from gypsumsail.peers.port import EntryId
from gypsumsail.timeline.models import Event

SECRET: Final = b"secret of the control bench"
SEED_PEERS: Final = 3
INCARNATION: Final = "0123456789abcdef01234567"
# The target fleet has 340 entries, 760 engines, 1500 customers and 9 models.
ENGINES_PER_ENTRY: Final = 760 / 340
CUSTOMERS_PER_ENTRY: Final = 1500 / 340
MODELS: Final = 9
SETTLE_TIMEOUT_SECONDS: Final = 180.0
POLL_SECONDS: Final = 0.05
FIRST_ZONE: Final = "zone-0"


class CountingRecorder:
    """Timeline recorder that only counts events."""

    def __init__(self) -> None:
        self.count = 0

    def record(self, event: Event) -> None:
        """Count an event."""
        self.count += 1


@dataclass(slots=True, kw_only=True)
class ControlNode:
    """Control plane components of one entry."""

    network: WebsocketPeerNetwork
    platform: HttpPlatform
    membership: MembershipCoordinator
    documents: DocumentsCoordinator

    async def async_unload(self) -> None:
        """Stop all components."""
        await self.documents.async_unload()
        await self.membership.async_unload()
        await self.network.async_unload()
        await self.platform.async_close()


@dataclass(slots=True, kw_only=True)
class ControlFleet:
    """Entries of a fleet in this process.

    Attributes
    ----------
    seeds
        Peer URLs to join; if empty, the first entries of this process.
    engines
        Number of engines in the VM list; 0 means in proportion to the entries.
    """

    platform_url: str
    nodes: list[ControlNode] = field(default_factory=list)
    seeds: tuple[str, ...] = ()
    engines: int = 0

    async def async_start(self, count: int, zones: int) -> None:
        """Start the entries, list them at the platform and wait for convergence."""
        for index in range(count):
            name = f"entry-{index}"
            await self.async_start_entry(name, f"zone-{index % zones}")
        await self.async_publish_vm_list()
        await self.async_wait_until(self.is_settled)

    async def async_stop(self) -> None:
        """Stop the entries."""
        await asyncio.gather(*(node.async_unload() for node in self.nodes))

    def is_settled(self) -> bool:
        """Return whether every entry knows all entries and targets."""
        targets = len(self.engine_records())
        return all(
            len(node.membership.entries()) == len(self.nodes)
            and len(node.membership.targets("service-0")) == targets
            for node in self.nodes
        )

    async def async_publish_vm_list(self) -> None:
        """Set the VM list of the platform's stand-in."""
        entries = [entry_record(node.network) for node in self.nodes]
        vms = entries + self.engine_records()
        async with httpx.AsyncClient(trust_env=False) as client:
            url = f"{self.platform_url}/control/vms"
            (await client.put(url, json={"vms": vms})).raise_for_status()

    def engine_records(self) -> list[dict[str, str]]:
        """Return the engines of the VM list."""
        proportion = round(len(self.nodes) * ENGINES_PER_ENTRY)
        return engine_records(self.engines or proportion)

    async def async_counters(self) -> dict[str, int]:
        """Return the counters of the platform's stand-in."""
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.get(f"{self.platform_url}/control")
        counters: dict[str, int] = answer.json()["counters"]
        return counters

    async def async_wait_until(self, condition: Any) -> None:
        """Poll a condition until it is true."""
        async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
            done = condition()
            while not done:
                await asyncio.sleep(POLL_SECONDS)
                done = condition()

    def in_force_future(self, service: str, version: int) -> asyncio.Future[None]:
        """Return a future that ends when all entries have the version in force."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        pending_nodes = {id(node) for node in self.nodes}
        for node in self.nodes:
            in_force = node.documents.in_force(service)
            if in_force is not None and in_force.version >= version:
                pending_nodes.discard(id(node))

        def on_in_force(node: ControlNode, document: DocumentInForce) -> None:
            if document.document.service != service or document.version < version:
                return
            pending_nodes.discard(id(node))
            if not pending_nodes and not done.done():
                done.set_result(None)

        for node in self.nodes:
            node.documents.subscribe(partial(on_in_force, node))
        if not pending_nodes:
            done.set_result(None)
        return done

    async def async_start_entry(self, name: str, zone: str) -> None:
        """Start one entry."""
        clock, recorder = SystemClock(), CountingRecorder()
        network = WebsocketPeerNetwork(
            EntryId(name=name, incarnation=INCARNATION, zone=zone),
            secret=SECRET,
            host="127.0.0.1",
            port=0,
            clock=clock,
        )
        await network.async_setup()
        platform = HttpPlatform(self.platform_url)
        seeds = self.seeds or tuple(
            node.network.peer_url for node in self.nodes[:SEED_PEERS]
        )
        membership = MembershipCoordinator(
            MembershipSettings(seeds=seeds),
            vm_list=platform,
            network=network,
            recorder=recorder,
            clock=clock,
            rng=random.Random(name),
        )
        documents = DocumentsCoordinator(
            platform,
            network,
            membership,
            recorder,
            clock,
            parse=parse_document,
            rng=random.Random(f"documents of {name}"),
        )
        await membership.async_setup()
        await documents.async_setup()
        self.nodes.append(
            ControlNode(
                network=network,
                platform=platform,
                membership=membership,
                documents=documents,
            )
        )


def relay_name(entries: int, zones: int) -> str:
    """Return an entry name that is selected as a relay of the first zone."""
    names = [f"entry-{index}" for index in range(0, entries, zones)]
    zone_entry_ids = [_relay_candidate_id(name) for name in names]
    candidates = (
        _relay_candidate_id(f"relay-{number}") for number in itertools.count()
    )
    for candidate in candidates:
        if candidate in zone_relays([*zone_entry_ids, candidate], FIRST_ZONE):
            return candidate.name
    raise AssertionError("the sequence of names is infinite")


def _relay_candidate_id(name: str) -> EntryId:
    return EntryId(name=name, incarnation=INCARNATION, zone=FIRST_ZONE)


def entry_record(network: WebsocketPeerNetwork) -> dict[str, str]:
    """Return the record of an entry in the VM list."""
    return {
        "vm_id": network.entry.name,
        "incarnation": network.entry.incarnation,
        "zone": network.entry.zone,
        "role": "entry",
        "service": "",
        "state": "live",
        "url": "",
        "peer_url": network.peer_url,
    }


def engine_records(count: int) -> list[dict[str, str]]:
    """Return the records of engines in the VM list."""
    return [
        {
            "vm_id": f"engine-{index}",
            "incarnation": f"{index:024x}",
            "zone": "zone-0",
            "role": "engine",
            "service": "service-0",
            "state": "live",
            "url": f"http://127.0.0.1:{index + 1}",
            "peer_url": "",
        }
        for index in range(count)
    ]


def document_text(service: str, entries: int, weight_version: str) -> str:
    """Return a service document.

    The number of customers is proportional to the number of entries.
    """
    count = max(1, round(entries * CUSTOMERS_PER_ENTRY / MODELS))
    customers = "\n".join(
        f"  - name: customer-{index}\n    key_digests: [{index:064x}]\n    share: 1"
        for index in range(count)
    )
    return f"""\
service: {service}
kind: model
owner: bench
models:
  - name: {service}
    weight_version: {weight_version}
customers:
{customers}
routes:
  - path: /{service}/v1/completions
    repeatable: true
deadlines:
  default: 60
  longest: 600
tiers:
  weights: {{first_token: 0.5, recomputed: 0.35, link_use: 0.15}}
  link_bytes_per_second: 5.0e+7
"""
