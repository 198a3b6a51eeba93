"""Asks other VMs for what they know and this one doesn't."""

from __future__ import annotations

import asyncio
from urllib.parse import quote

from gypsumsail.catalog.coordinator import CatalogCoordinator
from gypsumsail.catalog.copies import COPY_PATH, decode_copy
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.gossip.coordinator import GossipCoordinator
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.transport.bytes_client import BytesClient
from gypsumsail.vm.const import PEER_RETRY_SECONDS, PEER_TIMEOUT_SECONDS, TICK_SECONDS
from gypsumsail.vm.settings import VmSettings


class CatchUp:
    """Takes peers' copies while the store does not tell this VM."""

    def __init__(
        self,
        settings: VmSettings,
        catalog: CatalogCoordinator,
        gossip: GossipCoordinator,
        peers: PeerTable,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.settings = settings
        self.catalog = catalog
        self.gossip = gossip
        self.peers = peers
        self.clock = clock
        self.log = log

    async def async_run(self) -> None:
        """Ask peers that know more until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self.settings.control is None:
                continue
            peer = self.gossip.peer_to_ask(self.clock.monotonic())
            if peer is None:
                continue
            peer.ahead_since = None
            await self._async_ask(peer)
            await asyncio.sleep(PEER_RETRY_SECONDS)

    async def _async_ask(self, peer: Peer) -> None:
        assert self.settings.control is not None
        client = BytesClient(peer.host, self.settings.control.port)
        try:
            for kind in self.catalog.kinds.all():
                answer = await client.async_call(
                    "GET",
                    f"{COPY_PATH}{quote(kind, safe='')}",
                    timeout=PEER_TIMEOUT_SECONDS,
                )
                if answer.status == 200:
                    copy = decode_copy(answer.body)
                    self.catalog.take_copy(kind, copy, peer.vm)
        except (TransportError, ValueInvalidError) as err:
            self.log.write("copy not taken", peer=peer.vm, reason=str(err))
        finally:
            client.close()
