"""Searches and import notices, sent to the managers of stores and handled by them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
import logging

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.models import StoredPrefix
from gypsumsail.context.port import StoreHandle
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.port import EntryId, Message, PeerNetwork
from gypsumsail.tiers.const import DIRECTORY_RECOVERY_SECONDS, FIND_TIMEOUT_SECONDS
from gypsumsail.tiers.messages import FindStored, FoundStored, ImportNotice
from gypsumsail.tiers.store_manager import StoreManager, managing_entry

_LOGGER = logging.getLogger(__name__)


class StoreManagerClient:
    """Searches the store listings for prompts, and reports imports to store managers.

    Each request goes to the entry that manages the store. The searches recover prompts
    that are missing from the directory. The client also handles the searches
    and import notices of other entries for the stores that this entry manages.

    Attributes
    ----------
    incomplete_until
        Time until which the directory may lack records of stored prompts. The loss
        of an entry of the zone extends it.
    zone_entries
        Names of the other entries of the zone at the last check.
    """

    def __init__(
        self,
        me: EntryId,
        network: PeerNetwork,
        store_manager: StoreManager,
        clock: Clock,
    ) -> None:
        self.me = me
        self.network = network
        self.store_manager = store_manager
        self.clock = clock
        self.incomplete_until = clock.monotonic() + DIRECTORY_RECOVERY_SECONDS
        self.zone_entries: frozenset[str] = frozenset()
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Start to answer requests of other entries."""
        self._unsubscribe = [
            self.network.subscribe(ImportNotice, self._async_on_import_notice),
            self.network.subscribe(FindStored, self._async_on_find),
        ]

    async def async_unload(self) -> None:
        """Stop answering requests of other entries."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = []

    def directory_incomplete(self) -> bool:
        """Return whether the directory of the zone may lack records.

        This is the case for `DIRECTORY_RECOVERY_SECONDS` after the start of this
        entry or the loss of another one. Each call compares the entries of the zone
        with those of the previous call.
        """
        now = self.clock.monotonic()
        entries = frozenset(
            peer.name for peer in self.network.peers() if peer.zone == self.me.zone
        )
        if self.zone_entries - entries:
            self.incomplete_until = now + DIRECTORY_RECOVERY_SECONDS
        self.zone_entries = entries
        return now < self.incomplete_until

    async def async_find(
        self, handles: Sequence[StoreHandle], hashes: tuple[str, ...]
    ) -> tuple[StoredPrefix, ...]:
        """Return the leading blocks of a prompt in each store, from its manager."""
        answers = await asyncio.gather(
            *(self._async_find_in(handle, hashes) for handle in handles)
        )
        return tuple(stored for stored in answers if stored is not None)

    async def async_report_import(
        self, handle: StoreHandle, names: tuple[str, ...]
    ) -> None:
        """Notify the manager of a store that an engine is about to import blocks."""
        generations = {name.partition(".")[2] for name in names}
        message = ImportNotice(
            store_url=handle.store_url, generations=tuple(sorted(generations))
        )
        manager = self._manager(handle)
        if manager == self.me:
            self._record_imports(message)
            return
        try:
            await self.network.async_send(manager, message)
        except TransportError as error:
            _LOGGER.debug(
                "Notice of an import not sent to entry %s: %s", manager.name, error
            )

    async def _async_find_in(
        self, handle: StoreHandle, hashes: tuple[str, ...]
    ) -> StoredPrefix | None:
        manager = self._manager(handle)
        for key in directory_keys(hashes):
            request = FindStored(store_url=handle.store_url, key=key, hashes=hashes)
            if manager == self.me:
                stored = self._find(request)
            else:
                stored = await self._async_request(manager, request)
            if stored is not None:
                return stored
        return None

    async def _async_request(
        self, manager: EntryId, request: FindStored
    ) -> StoredPrefix | None:
        try:
            answer = await self.network.async_request(
                manager, request, timeout=FIND_TIMEOUT_SECONDS
            )
        except TransportError as error:
            _LOGGER.debug("Store search at entry %s failed: %s", manager.name, error)
            return None
        return answer.stored if isinstance(answer, FoundStored) else None

    def _manager(self, handle: StoreHandle) -> EntryId:
        return managing_entry(handle, (self.me, *self.network.peers()))

    def _find(self, request: FindStored) -> StoredPrefix | None:
        managed = self.store_manager.stores.get(request.store_url)
        return managed.view.find(request.key, request.hashes) if managed else None

    def _record_imports(self, message: ImportNotice) -> None:
        managed = self.store_manager.stores.get(message.store_url)
        if managed is not None:
            managed.view.record_imports(message.generations, now=self.clock.monotonic())

    async def _async_on_import_notice(
        self, _peer: EntryId, message: ImportNotice
    ) -> None:
        self._record_imports(message)

    async def _async_on_find(self, _peer: EntryId, message: FindStored) -> Message:
        return FoundStored(stored=self._find(message))
