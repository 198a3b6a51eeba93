"""Management of the stores that are assigned to this entry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
import logging
from typing import TypeVar

from gypsumsail.context.owners import owner_in_zone
from gypsumsail.context.port import StoreHandle, TargetSource
from gypsumsail.context.store_view import StoredExport, StoreView
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.core.rendezvous import owner
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.stores.port import StoreLoad, Tier
from gypsumsail.tiers.const import (
    MAX_BLOCKS_PER_STORE_CALL,
    POLLS_PER_LISTING,
    STORE_POLL_INTERVAL_SECONDS,
    STORE_TIMEOUT_SECONDS,
)
from gypsumsail.tiers.eviction import plan_eviction
from gypsumsail.tiers.messages import StoreReport
from gypsumsail.tiers.reuse import ReuseModel

_LOGGER = logging.getLogger(__name__)
_ResultT = TypeVar("_ResultT")


def managing_entry(handle: StoreHandle, entries: Iterable[EntryId]) -> EntryId:
    """Return the entry that manages a store, from the zone of the store if possible."""
    known = tuple(entries)
    found = owner_in_zone(handle.store_url, handle.zone, known)
    if found is not None:
        return found
    by_name = {entry.name: entry for entry in known}
    return by_name[owner(handle.store_url, by_name)]


@dataclass(slots=True)
class ManagedStore:
    """A store that this entry manages.

    Attributes
    ----------
    polls
        Number of successful polls of the store.
    """

    handle: StoreHandle
    view: StoreView
    polls: int = 0


class StoreManager:
    """Polls the loads of stores, reports them to all entries and evicts blocks.

    Parameters
    ----------
    reuse_model
        Returns the reuse model of a service.
    on_report
        Called with each report, which is also sent to the other entries.
    async_on_lost
        Called with the URL of a store that restarted and lost its contents.
    """

    def __init__(
        self,
        me: EntryId,
        network: PeerNetwork,
        source: TargetSource,
        clock: Clock,
        *,
        reuse_model: Callable[[str], ReuseModel],
        on_report: Callable[[StoreReport], None],
        async_on_lost: Callable[[str], Awaitable[None]],
    ) -> None:
        self.me = me
        self.network = network
        self.source = source
        self.clock = clock
        self.reuse_model = reuse_model
        self.on_report = on_report
        self.async_on_lost = async_on_lost
        self.stores: dict[str, ManagedStore] = {}
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to poll the managed stores."""
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop; another entry takes over the stores once this entry has left."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _async_run(self) -> None:
        while True:
            await self.async_poll()
            await asyncio.sleep(STORE_POLL_INTERVAL_SECONDS)

    async def async_poll(self) -> None:
        """Poll all managed stores once, concurrently."""
        self._update_managed_stores()
        managed = list(self.stores.values())
        await asyncio.gather(*(self._async_poll_store(store) for store in managed))

    def _update_managed_stores(self) -> None:
        entries = (self.me, *self.network.peers())
        mine = {
            handle.store_url: handle
            for handle in self.source.stores()
            if managing_entry(handle, entries) == self.me
        }
        for store_url in self.stores.keys() - mine.keys():
            del self.stores[store_url]
        for store_url, handle in mine.items():
            if store_url not in self.stores:
                self.stores[store_url] = ManagedStore(handle, StoreView(store_url))

    async def _async_poll_store(self, managed: ManagedStore) -> None:
        try:
            load = await _async_with_timeout(managed.handle.store.async_load())
        except GypsumsailError as error:
            _LOGGER.debug(
                "Polling store %s failed: %s", managed.handle.store_url, error
            )
            await self._async_report(managed.handle.store_url, None)
            return
        await self._async_report(managed.handle.store_url, load)
        restarted = load.incarnation != managed.view.incarnation
        if restarted or managed.polls % POLLS_PER_LISTING == 0:
            await self._async_sync_contents(managed, load)
        managed.polls += 1

    async def _async_report(self, store_url: str, load: StoreLoad | None) -> None:
        report = StoreReport(
            store_url=store_url,
            incarnation=load.incarnation if load is not None else "",
            tiers=load.tiers if load is not None else (),
        )
        self.on_report(report)
        for peer in self.network.peers():
            try:
                await self.network.async_send(peer, report)
            except TransportError as error:
                _LOGGER.debug("Store report to entry %s failed: %s", peer.name, error)

    async def _async_sync_contents(
        self, managed: ManagedStore, load: StoreLoad
    ) -> None:
        store, view = managed.handle.store, managed.view
        try:
            contents = await _async_with_timeout(
                store.async_contents(after=view.sequence)
            )
            if view.apply(contents, now=self.clock.monotonic()):
                await self.async_on_lost(managed.handle.store_url)
                contents = await _async_with_timeout(store.async_contents(after=0))
                view.apply(contents, now=self.clock.monotonic())
            await self._async_evict(managed, load)
        except GypsumsailError as error:
            _LOGGER.info(
                "Listing, freeing or moving blocks of store %s failed: %s",
                managed.handle.store_url,
                error,
            )

    async def _async_evict(self, managed: ManagedStore, load: StoreLoad) -> None:
        plan = plan_eviction(
            managed.view.exports.values(),
            load,
            self.reuse_model(managed.handle.service),
            now=self.clock.monotonic(),
        )
        store = managed.handle.store
        for export in plan.free:
            managed.view.remove(str(export.generation))
        for names in _batches(plan.free):
            await _async_with_timeout(store.async_free(names))
        for names in _batches(plan.to_disk):
            await store.async_move(names, tier=Tier.DISK)
        for names in _batches(plan.to_memory):
            await store.async_move(names, tier=Tier.MEMORY)


async def _async_with_timeout(call: Awaitable[_ResultT]) -> _ResultT:
    try:
        async with asyncio.timeout(STORE_TIMEOUT_SECONDS):
            return await call
    except TimeoutError as error:
        raise TransportError("store did not answer in time", sent=True) from error


def _batches(exports: Iterable[StoredExport]) -> Iterable[tuple[str, ...]]:
    names = [name for export in exports for name in export.names()]
    for start in range(0, len(names), MAX_BLOCKS_PER_STORE_CALL):
        yield tuple(names[start : start + MAX_BLOCKS_PER_STORE_CALL])
