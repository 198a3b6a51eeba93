"""Fetches catalog changes from other VMs."""

from __future__ import annotations

import asyncio
from urllib.parse import quote

from gypsumsail.catalog.coordinator import CatalogCoordinator
from gypsumsail.catalog.peer_updates import PEER_UPDATE_PATH, decode_peer_update
from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gossip.coordinator import GossipCoordinator
from gypsumsail.gossip.peers import Peer
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.vm.const import PEER_RETRY_SECONDS, PEER_TIMEOUT_SECONDS, TICK_SECONDS
from gypsumsail.vm.peer_clients import PeerClients


class CatchUp:
    """Applies changes from peers that this VM has not received from the store."""

    def __init__(
        self,
        clients: PeerClients,
        catalog: CatalogCoordinator,
        gossip: GossipCoordinator,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.clients = clients
        self.catalog = catalog
        self.gossip = gossip
        self.clock = clock
        self.log = log

    async def async_run(self) -> None:
        """Fetch changes from peers that are ahead until the task is cancelled."""
        while True:
            await async_sleep_aligned(TICK_SECONDS)
            peer = self.gossip.peer_to_catch_up_from(self.clock.monotonic())
            if peer is None:
                continue
            peer.ahead_since = None
            try:
                await self._async_fetch_updates(peer)
            except (TransportError, ValueInvalidError) as err:
                self.log.write("copy not taken", peer=peer.vm, reason=str(err))
                await asyncio.sleep(PEER_RETRY_SECONDS)

    async def _async_fetch_updates(self, peer: Peer) -> None:
        for kind in self.catalog.kinds.all():
            since = self.catalog.revision(kind)
            asked_at = self.clock.monotonic()
            body = await self.clients.async_get(
                peer.host,
                f"{PEER_UPDATE_PATH}{quote(kind, safe='')}",
                {"since": str(since)},
                PEER_TIMEOUT_SECONDS,
            )
            if body is None:
                continue
            peer_update = decode_peer_update(body)
            if peer_update.update.listing.objects:
                self.log.write(
                    "copy taken",
                    peer=peer.vm,
                    kind=kind,
                    bytes=len(body),
                    took_ms=round(
                        (self.clock.monotonic() - asked_at) * MILLISECONDS_PER_SECOND
                    ),
                )
            self.catalog.apply_peer_update(kind, peer_update, peer.vm)
