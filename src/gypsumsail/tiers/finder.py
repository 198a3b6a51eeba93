"""Questions to the stores' keepers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
import logging

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.models import Stored
from gypsumsail.context.port import StoreLink
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.port import EntryId, Message, PeerNetwork
from gypsumsail.tiers.const import FIND_TIMEOUT_SECONDS, UNCERTAIN_SECONDS
from gypsumsail.tiers.keeper import StoreKeeper, keeper_of
from gypsumsail.tiers.messages import BlocksUsed, FindStored, FoundStored

_LOGGER = logging.getLogger(__name__)


class StoreFinder:
    """Finds in the stores' listings what a directory has lost.

    Attributes
    ----------
    uncertain_until
        Time until which a prompt that the directory doesn't know is looked for;
        it moves on when an entry of the zone is lost.
    """

    def __init__(
        self, me: EntryId, network: PeerNetwork, keeper: StoreKeeper, clock: Clock
    ) -> None:
        self.me = me
        self.network = network
        self.keeper = keeper
        self.clock = clock
        self.uncertain_until = clock.monotonic() + UNCERTAIN_SECONDS
        self.zone_entries: frozenset[str] = frozenset()
        self._unsubscribe: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Start to answer other entries."""
        self._unsubscribe = [
            self.network.subscribe(BlocksUsed, self._async_on_used),
            self.network.subscribe(FindStored, self._async_on_find),
        ]

    async def async_unload(self) -> None:
        """Stop to answer other entries."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = []

    def uncertain(self) -> bool:
        """Return whether a part of the zone's directory was lost lately."""
        now = self.clock.monotonic()
        entries = frozenset(
            peer.name for peer in self.network.peers() if peer.zone == self.me.zone
        )
        if self.zone_entries - entries:
            self.uncertain_until = now + UNCERTAIN_SECONDS
        self.zone_entries = entries
        return now < self.uncertain_until

    async def async_find(
        self, links: Sequence[StoreLink], hashes: tuple[str, ...]
    ) -> tuple[Stored, ...]:
        """Return what the stores hold of a prompt by their keepers' views."""
        answers = await asyncio.gather(
            *(self._async_find_in(link, hashes) for link in links)
        )
        return tuple(stored for stored in answers if stored is not None)

    async def async_used(self, link: StoreLink, names: tuple[str, ...]) -> None:
        """Tell a store's keeper that blocks are imported."""
        generations = {name.partition(".")[2] for name in names}
        used = BlocksUsed(
            store_url=link.store_url, generations=tuple(sorted(generations))
        )
        keeper = self._keeper(link)
        if keeper == self.me:
            self._on_used(used)
            return
        try:
            await self.network.async_send(keeper, used)
        except TransportError as error:
            _LOGGER.debug("Message to %s failed: %s", keeper.name, error)

    async def _async_find_in(
        self, link: StoreLink, hashes: tuple[str, ...]
    ) -> Stored | None:
        keeper = self._keeper(link)
        for key in directory_keys(hashes):
            question = FindStored(store_url=link.store_url, key=key, hashes=hashes)
            if keeper == self.me:
                stored = self._find(question)
            else:
                stored = await self._async_ask(keeper, question)
            if stored is not None:
                return stored
        return None

    async def _async_ask(self, keeper: EntryId, question: FindStored) -> Stored | None:
        try:
            answer = await self.network.async_request(
                keeper, question, timeout=FIND_TIMEOUT_SECONDS
            )
        except TransportError as error:
            _LOGGER.debug("Question to %s failed: %s", keeper.name, error)
            return None
        return answer.stored if isinstance(answer, FoundStored) else None

    def _keeper(self, link: StoreLink) -> EntryId:
        return keeper_of(link, (self.me, *self.network.peers()))

    def _find(self, question: FindStored) -> Stored | None:
        kept = self.keeper.stores.get(question.store_url)
        return kept.view.find(question.key, question.hashes) if kept else None

    def _on_used(self, used: BlocksUsed) -> None:
        kept = self.keeper.stores.get(used.store_url)
        if kept is not None:
            kept.view.used(used.generations, now=self.clock.monotonic())

    async def _async_on_used(self, _peer: EntryId, message: BlocksUsed) -> None:
        self._on_used(message)

    async def _async_on_find(self, _peer: EntryId, message: FindStored) -> Message:
        return FoundStored(stored=self._find(message))
