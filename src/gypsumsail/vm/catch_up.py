"""Fetches catalog changes from other VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import logging
from urllib.parse import quote

from gypsumsail.catalog.coordinator import CatalogCoordinator
from gypsumsail.catalog.peer_updates import (
    COMPRESSED_FLAG,
    PEER_UPDATE_PATH,
    decode_peer_update,
)
from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.callback import callback
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gossip.coordinator import GossipCoordinator
from gypsumsail.gossip.peers import Peer
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.vm.const import TICK_SECONDS
from gypsumsail.vm.fetch_plan import FetchPlan, fetch_limit
from gypsumsail.vm.peer_clients import PeerClients

_LOGGER = logging.getLogger(__name__)


class CatchUp:
    """Applies changes from peers that this VM has not received from the store.

    Attributes
    ----------
    fetches
        Calls in progress, which end once this VM has the changes.
    """

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
        self.plan = FetchPlan()
        self.fetches: set[asyncio.Task[None]] = set()

    async def async_run(self) -> None:
        """Fetch changes from peers that are ahead until the task is cancelled."""
        try:
            while True:
                await async_sleep_aligned(TICK_SECONDS)
                self.tick(self.clock.monotonic())
        finally:
            self._cancel_fetches()

    @callback
    def tick(self, now: float) -> None:
        """Ask a peer that is ahead, or one more if the others don't answer."""
        if self.fetches and self.gossip.peer_to_catch_up_from(now) is None:
            self._cancel_fetches()
        if not self.plan.may_start(now):
            return
        peer = self._next_peer(now)
        if peer is None:
            return
        if self.plan.running:
            # The call that hangs may have met a connection that went silent, and
            # others that were kept as well.
            self.clients.drop_idle()
        kinds = self.gossip.kinds_ahead(peer)
        bound = self.catalog.bound(kinds)
        self.plan.record_start(peer.host, bound, now)
        task = asyncio.create_task(self._async_fetch(peer, kinds, bound))
        self.fetches.add(task)
        task.add_done_callback(self.fetches.discard)

    def _next_peer(self, now: float) -> Peer | None:
        for excluded in self.plan.exclusions(now):
            if (peer := self.gossip.peer_to_catch_up_from(now, excluded)) is not None:
                return peer
        return None

    @callback
    def _cancel_fetches(self) -> None:
        for task in self.fetches:
            task.cancel()

    async def _async_fetch(
        self, peer: Peer, kinds: Collection[str], bound: float
    ) -> None:
        """Fetch changes from one peer."""
        has_failed = False
        told = {kind: peer.newer[kind] for kind in kinds}
        try:
            await self._async_fetch_updates(peer, kinds, fetch_limit(bound))
            self.gossip.record_fetched(peer, told)
        except (TransportError, ValueInvalidError) as err:
            has_failed = True
            self.log.write("copy not taken", peer=peer.vm, reason=str(err))
        except Exception:
            has_failed = True
            _LOGGER.exception("Changes of %s could not be applied", peer.vm)
        finally:
            now = self.clock.monotonic()
            self.plan.record_end(peer.host, now, has_failed=has_failed)

    async def _async_fetch_updates(
        self, peer: Peer, kinds: Collection[str], limit: float
    ) -> None:
        for kind in self.catalog.kinds.all():
            if kind not in kinds:
                continue
            asked_at = self.clock.monotonic()
            body = await self.clients.async_get(
                peer.host,
                f"{PEER_UPDATE_PATH}{quote(kind, safe='')}",
                {"since": str(self.catalog.revision(kind)), COMPRESSED_FLAG: "1"},
                limit,
            )
            if body is None:
                continue
            peer_update = decode_peer_update(body)
            seconds = self.clock.monotonic() - asked_at
            self.log.write(
                "copy taken",
                peer=peer.vm,
                kind=kind,
                bytes=len(body),
                took_ms=round(seconds * MILLISECONDS_PER_SECOND),
            )
            self.catalog.apply_peer_update(kind, peer_update, peer.vm)
