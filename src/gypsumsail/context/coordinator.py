"""Lookup and publication of cached prompts among the entries of all zones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
import logging

from gypsumsail.context.chain import (
    HashChain,
    common_depth,
    directory_keys,
    make_chain,
)
from gypsumsail.context.const import (
    HANDOVER_BATCH,
    HANDOVER_INTERVAL_SECONDS,
    HINT_LIFETIME_SECONDS,
    LOOKUP_TIMEOUT_SECONDS,
    MAX_LOOKUP_KEYS,
    MIN_REUSE_SHARE,
    PUBLISH_INTERVAL_SECONDS,
)
from gypsumsail.context.directory import NOT_FOUND, Directory, PromptRecord
from gypsumsail.context.engine_watch import EngineWatch
from gypsumsail.context.models import (
    EMPTY_LOOKUP_RESULT,
    EngineHint,
    Found,
    LookUp,
    LookupResult,
    PromptUpdate,
    Publish,
    StoredPrefix,
    StoreLost,
    Withdraw,
)
from gypsumsail.context.owners import owner_in_zone, owners
from gypsumsail.context.port import TargetSource
from gypsumsail.context.publish_queue import PublishQueue
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.port import EntryId, Message, PeerNetwork

_LOGGER = logging.getLogger(__name__)


class ContextCoordinator:
    """Directory shard of one entry, and access to the shards of other entries.

    Each zone has a complete directory, which is sharded among the entries of the
    zone. Lookups stay within the zone; updates are published to all zones.
    """

    def __init__(
        self, me: EntryId, network: PeerNetwork, source: TargetSource, clock: Clock
    ) -> None:
        self.me = me
        self.network = network
        self.clock = clock
        self.directory = Directory()
        self.watch = EngineWatch(source, entry_name=me.name, zone=me.zone)
        self.queue = PublishQueue(me.zone)
        self.failed_lookups = 0
        self._unsubscribe: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def async_setup(self) -> None:
        """Start to answer lookups, publish updates and watch the engine caches."""
        subscribe = self.network.subscribe
        self._unsubscribe = [
            subscribe(Publish, self._async_on_publish),
            subscribe(LookUp, self._async_on_look_up),
            subscribe(Withdraw, self._async_on_withdraw),
            subscribe(StoreLost, self._async_on_store_lost),
        ]
        await self.watch.async_setup()
        self._tasks = [
            asyncio.create_task(self._async_publish()),
            asyncio.create_task(self._async_hand_over()),
        ]

    async def async_unload(self) -> None:
        """Stop; records that were not handed over before are lost."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = []
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        await self.watch.async_unload()

    async def async_lookup(self, hashes: tuple[str, ...]) -> LookupResult:
        """Return where a prompt is cached; empty if no entry answers in time."""
        if not hashes:
            return EMPTY_LOOKUP_RESULT
        chain = make_chain(hashes)
        keys = directory_keys(hashes)[:MAX_LOOKUP_KEYS]
        answers = await asyncio.gather(
            *(self._async_request_record(key, chain) for key in keys)
        )
        return _merge_results([_to_lookup_result(hashes, answer) for answer in answers])

    @callback
    def cached_blocks(
        self, target: str, hashes: tuple[str, ...], lookup: LookupResult
    ) -> int:
        """Return the estimated number of leading blocks in the cache of an engine.

        A recent hint supplements the view of the engine cache, because the cache
        events of the engine may not have arrived yet. If the engine is not watched
        or its view is not synchronized, only the hint counts.
        """
        view = self.watch.views.get(target)
        hint = lookup.engine
        hinted = hint.depth if hint is not None and hint.target == target else 0
        if view is None or not view.synced:
            return hinted
        if hint is not None and hint.age > HINT_LIFETIME_SECONDS:
            hinted = 0
        return max(view.cached_blocks(hashes), hinted)

    @callback
    def on_computed(self, hashes: tuple[str, ...], target: str) -> None:
        """Publish that an engine has just computed a prompt."""
        if hashes:
            hint = EngineHint(target=target, depth=len(hashes), age=0.0)
            self._publish(hashes, engine=hint, stored=None)

    @callback
    def on_stored(self, hashes: tuple[str, ...], stored: StoredPrefix) -> None:
        """Publish which leading blocks of a prompt a store holds."""
        self._publish(hashes, engine=None, stored=stored)

    async def async_withdraw(
        self, hashes: tuple[str, ...], store_url: str, depth: int
    ) -> None:
        """Notify the directories that a store has at most ``depth`` blocks left."""
        chain = make_chain(hashes)
        for key in directory_keys(hashes)[:MAX_LOOKUP_KEYS]:
            message = Withdraw(key=key, chain=chain, store_url=store_url, depth=depth)
            self.directory.withdraw(key, chain, store_url, depth)
            for entry in owners(key, self.network.peers()):
                await self._async_send(entry, message)

    async def async_store_lost(self, store_url: str) -> None:
        """Notify all entries that a store has lost its contents."""
        self.directory.drop_store(store_url)
        message = StoreLost(store_url=store_url)
        for entry in self.network.peers():
            await self._async_send(entry, message)

    @callback
    def publish_update(self, update: PromptUpdate) -> None:
        """Send an update to the owner of its key in each zone."""
        now = self.clock.monotonic()
        owner_ids = owners(update.key, (self.me, *self.network.peers()))
        if self.me in owner_ids:
            self.directory.publish(update, now=now)
        others = (entry for entry in owner_ids if entry != self.me)
        self.queue.add(update, others, now=now)

    def _publish(
        self,
        hashes: tuple[str, ...],
        *,
        engine: EngineHint | None,
        stored: StoredPrefix | None,
    ) -> None:
        self.publish_update(
            PromptUpdate(
                key=directory_keys(hashes)[0],
                chain=make_chain(hashes),
                age=0.0,
                engine=engine,
                stored=stored,
            )
        )

    async def _async_request_record(self, key: str, chain: HashChain) -> Found:
        entries = (self.me, *self.network.peers())
        owner = owner_in_zone(key, self.me.zone, entries)
        if owner is None or owner == self.me:
            return self.directory.look_up(key, chain, now=self.clock.monotonic())
        try:
            answer = await self.network.async_request(
                owner, LookUp(key=key, chain=chain), timeout=LOOKUP_TIMEOUT_SECONDS
            )
        except TransportError as error:
            _LOGGER.debug("Context lookup at entry %s failed: %s", owner.name, error)
            self.failed_lookups += 1
            return NOT_FOUND
        return answer if isinstance(answer, Found) else NOT_FOUND

    async def _async_send(self, entry: EntryId, message: Message) -> None:
        try:
            await self.network.async_send(entry, message)
        except TransportError as error:
            _LOGGER.debug("Context message to entry %s failed: %s", entry.name, error)

    async def _async_publish(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
            for entry, updates in self.queue.take_batches():
                await self._async_send(entry, Publish(updates=updates))

    async def _async_hand_over(self) -> None:
        known: frozenset[EntryId] = frozenset()
        while True:
            await asyncio.sleep(HANDOVER_INTERVAL_SECONDS)
            entries = frozenset(self._zone_entries())
            if entries == known:
                continue
            records = list(self.directory.oldest_first())
            for start in range(0, len(records), HANDOVER_BATCH):
                self._hand_over(records[start : start + HANDOVER_BATCH])
                await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
            known = entries

    def _hand_over(self, records: list[PromptRecord]) -> None:
        now = self.clock.monotonic()
        entries = self._zone_entries()
        for record in records:
            owner = owner_in_zone(record.key, self.me.zone, entries)
            if owner is None or owner == self.me:
                continue
            for update in self.directory.updates_for(record, now=now):
                self.queue.add(update, (owner,), now=now)
            self.directory.remove(record)

    def _zone_entries(self) -> list[EntryId]:
        entries = (self.me, *self.network.peers())
        return [entry for entry in entries if entry.zone == self.me.zone]

    async def _async_on_publish(self, _peer: EntryId, message: Publish) -> None:
        now = self.clock.monotonic()
        for update in message.updates:
            self.directory.publish(update, now=now)

    async def _async_on_look_up(self, _peer: EntryId, message: LookUp) -> Message:
        now = self.clock.monotonic()
        return self.directory.look_up(message.key, message.chain, now=now)

    async def _async_on_withdraw(self, _peer: EntryId, message: Withdraw) -> None:
        self.directory.withdraw(
            message.key, message.chain, message.store_url, message.depth
        )

    async def _async_on_store_lost(self, _peer: EntryId, message: StoreLost) -> None:
        self.directory.drop_store(message.store_url)


def _merge_results(parts: Sequence[LookupResult]) -> LookupResult:
    """Merge lookup results.

    The merged result has the deepest stored blocks of each store, the deepest
    engine hint and the lowest age.
    """
    stored: dict[str, StoredPrefix] = {}
    for part in parts:
        for candidate in part.stored:
            known = stored.get(candidate.store_url)
            if known is None or candidate.depth > known.depth:
                stored[candidate.store_url] = candidate
    hints = [part.engine for part in parts if part.engine is not None]
    ages = [part.request_age for part in parts if part.request_age is not None]
    return LookupResult(
        stored=tuple(stored.values()),
        engine=max(hints, key=lambda hint: hint.depth, default=None),
        request_age=min(ages, default=None),
    )


def _to_lookup_result(hashes: tuple[str, ...], found: Found) -> LookupResult:
    if found.chain is None:
        return EMPTY_LOOKUP_RESULT
    depth = common_depth(hashes, found.chain)
    if not depth:
        return EMPTY_LOOKUP_RESULT
    cut = (stored.cut(depth) for stored in found.stored)
    hint = found.engine
    if hint is not None:
        hint = EngineHint(
            target=hint.target, depth=min(hint.depth, depth), age=hint.age
        )
    return LookupResult(
        stored=tuple(stored for stored in cut if stored.runs),
        engine=hint,
        request_age=found.age if depth >= MIN_REUSE_SHARE * len(hashes) else None,
    )
