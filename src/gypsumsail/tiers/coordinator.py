"""Coordination of lookups, holds, imports and exports of blocks in stores."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, replace
import logging
from random import Random
from typing import Any

from gypsumsail.context.chain import directory_keys
from gypsumsail.context.const import KV_BYTES_PER_BLOCK, TOKENS_PER_BLOCK
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.models import EMPTY_LOOKUP_RESULT, LookupResult, StoredPrefix
from gypsumsail.context.port import StoreHandle, TargetSource
from gypsumsail.context.prompt import PromptBlocks
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.core.rendezvous import owner
from gypsumsail.limits.coordinator import DocumentSource, LimitCoordinator
from gypsumsail.peers.port import EntryId, PeerNetwork
from gypsumsail.routing.models import ImportablePrefix
from gypsumsail.targets.port import AnswerEnd, StoredBlocks
from gypsumsail.tiers.const import (
    HOLD_TIMEOUT_SECONDS,
    IMPORT_RESERVE_SHARE,
    MAX_HOLD_SECONDS,
    MAX_REMEMBERED_LOOKUPS,
    PROMOTION_WINDOW_SECONDS,
)
from gypsumsail.tiers.export_plan import ExportCandidate, plan_export
from gypsumsail.tiers.export_queue import ExportJob
from gypsumsail.tiers.exporter import Exporter
from gypsumsail.tiers.messages import StoreReport
from gypsumsail.tiers.reuse import ReuseModel
from gypsumsail.tiers.store_manager import StoreManager
from gypsumsail.tiers.store_manager_client import StoreManagerClient
from gypsumsail.tiers.store_states import StoreStates
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnsweredPrompt:
    """A prompt that an engine has answered completely.

    Attributes
    ----------
    kept
        Blocks in a store that the engine was told to import, if any.
    prefill_tokens_per_second
        Estimated prefill speed of the engine.
    """

    request_id: str
    blocks: PromptBlocks
    target: str
    kept: StoredBlocks | None
    end: AnswerEnd
    prefill_tokens_per_second: float


class TierCoordinator:
    """Finds, holds, imports and exports blocks in stores on behalf of one entry.

    It also manages the stores that are assigned to the entry.

    Attributes
    ----------
    lookups
        Results of lookups by the last block hash of the prompt, until the answer
        ends; at most `MAX_REMEMBERED_LOOKUPS`.
    """

    def __init__(
        self,
        me: EntryId,
        network: PeerNetwork,
        context: ContextCoordinator,
        limits: LimitCoordinator,
        source: TargetSource,
        documents: DocumentSource,
        recorder: Recorder,
        clock: Clock,
        rng: Random,
    ) -> None:
        self.me = me
        self.network = network
        self.context = context
        self.limits = limits
        self.source = source
        self.documents = documents
        self.recorder = recorder
        self.clock = clock
        self.store_states = StoreStates(rng)
        self.reuse_models: dict[str, ReuseModel] = {}
        self.lookups: OrderedDict[str, LookupResult] = OrderedDict()
        self.exporter = Exporter(
            context,
            limits,
            self.store_states,
            source,
            recorder,
            clock,
            may_start=self._may_export,
        )
        self.store_manager = StoreManager(
            me,
            network,
            source,
            clock,
            reuse_model=self._reuse_model,
            on_report=self._on_report,
            async_on_lost=context.async_store_lost,
        )
        self.store_manager_client = StoreManagerClient(
            me, network, self.store_manager, clock
        )
        self._unsubscribe: list[Callable[[], None]] = []
        self._background: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Start to receive store reports, to manage stores and to export.

        From now on, the entry also answers requests about the stores that it manages.
        """
        self._unsubscribe = [self.network.subscribe(StoreReport, self._async_on_report)]
        await self.store_manager_client.async_setup()
        await self.store_manager.async_setup()
        await self.exporter.async_setup()

    async def async_unload(self) -> None:
        """Stop all background work."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe = []
        await self.exporter.async_unload()
        await self.store_manager.async_unload()
        await self.store_manager_client.async_unload()
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    async def async_lookup(self, blocks: PromptBlocks) -> LookupResult:
        """Return the engines and stores that have a prompt cached.

        If the directory may be incomplete and knows no stored blocks, the listings
        of the stores are searched as well.
        """
        lookup = await self.context.async_lookup(blocks.hashes)
        if not blocks.hashes:
            return lookup
        if self.store_manager_client.directory_incomplete() and not lookup.stored:
            handles = self._stores(blocks.service)
            found = await self.store_manager_client.async_find(handles, blocks.hashes)
            lookup = replace(lookup, stored=found)
        self.lookups[blocks.hashes[-1]] = lookup
        self.lookups.move_to_end(blocks.hashes[-1])
        if len(self.lookups) > MAX_REMEMBERED_LOOKUPS:
            self.lookups.popitem(last=False)
        return lookup

    @callback
    def importable_prefixes(
        self, blocks: PromptBlocks, lookup: LookupResult
    ) -> tuple[ImportablePrefix, ...]:
        """Return the stored prefixes in usable stores, with the current link credit.

        Prefixes that exceed the credit are included and count as link demand.
        """
        now = self.clock.monotonic()
        known = {handle.store_url for handle in self.source.stores()}
        credit = self.limits.link_credit(blocks.service)
        found = []
        for stored in lookup.stored:
            if stored.store_url not in known:
                continue
            if not self.store_states.usable(stored.store_url, now=now):
                continue
            size = stored.depth * KV_BYTES_PER_BLOCK
            if credit < size:
                self.limits.add_link_demand(blocks.service, size)
            prefix = self._prefix(blocks, stored, credit, now)
            found.append(prefix)
        return tuple(found)

    async def async_hold(
        self,
        blocks: PromptBlocks,
        kept: StoredBlocks | None,
        *,
        cached_blocks: int,
        deadline: float,
    ) -> StoredBlocks | None:
        """Hold blocks in their store before the engine is told to import them.

        A store does not free blocks while they are held. The hold lasts as long as
        the time left for the request, ``deadline`` in seconds, but at most
        `MAX_HOLD_SECONDS`. ``cached_blocks`` is the number of leading blocks that the
        engine has cached.

        Returns the leading blocks that the store still has, or ``None`` if they
        include no block that the engine lacks. A failure of the store also gives
        ``None`` and is not raised, because the engine can compute the prompt itself.
        """
        if kept is None:
            return None
        handle = self._store(kept.store_url)
        if handle is None:
            return None
        try:
            async with asyncio.timeout(HOLD_TIMEOUT_SECONDS):
                held = await handle.store.async_hold(
                    kept.names, seconds=min(deadline, MAX_HOLD_SECONDS)
                )
        except (GypsumsailError, TimeoutError) as error:
            _LOGGER.debug("Hold at store %s failed: %s", kept.store_url, error)
            self._record_call(kept.store_url, succeeded=False)
            return None
        self._record_call(kept.store_url, succeeded=True)
        depth = _held_prefix_length(kept.names, held)
        if depth < len(kept.names):
            withdraw = self.context.async_withdraw(blocks.hashes, kept.store_url, depth)
            self._start_background(withdraw)
        if depth <= cached_blocks:
            return None
        self._charge_import(blocks, kept, depth - cached_blocks)
        self._start_background(
            self.store_manager_client.async_report_import(handle, kept.names)
        )
        return StoredBlocks(store_url=kept.store_url, names=kept.names[:depth])

    @callback
    def on_answer_ended(self, answer: AnsweredPrompt) -> None:
        """Publish that the engine has the prompt cached, and plan an export.

        Answers of another weight version than that of the block hashes are ignored,
        because the engine then did not compute these blocks.
        """
        blocks = answer.blocks
        if not blocks.hashes or answer.end.weight_version != blocks.weight_version:
            return
        lookup = self.lookups.pop(blocks.hashes[-1], EMPTY_LOOKUP_RESULT)
        self._reuse_model(blocks.service).observe(blocks.customer, lookup.request_age)
        self.context.on_computed(blocks.hashes, answer.target)
        self._settle_import(answer)
        self._plan_export(answer, lookup)

    def _prefix(
        self, blocks: PromptBlocks, stored: StoredPrefix, credit: float, now: float
    ) -> ImportablePrefix:
        store_url, tier = stored.store_url, stored.tier
        return ImportablePrefix(
            store_url=store_url,
            names=stored.names(blocks.hashes),
            queued_bytes=self.store_states.queued_bytes(store_url, tier, now=now),
            bytes_per_second=self.store_states.bytes_per_second(
                store_url, tier, now=now
            ),
            allowed_bytes=credit,
        )

    def _charge_import(
        self, blocks: PromptBlocks, kept: StoredBlocks, imported: int
    ) -> None:
        size = imported * KV_BYTES_PER_BLOCK
        self.limits.add_link_demand(blocks.service, size)
        self.limits.consume_link(blocks.service, size)
        tier = self._tier_of(blocks, kept.store_url)
        if tier:
            self.store_states.on_transfer(kept.store_url, tier, size)

    def _settle_import(self, answer: AnsweredPrompt) -> None:
        """Account for the end of an import, if the engine was told to import blocks.

        Refunds the link credit of blocks that were not imported, updates the health
        of the store and records the event.
        """
        if answer.kept is None:
            return
        requested = len(answer.kept.names) * TOKENS_PER_BLOCK
        missing_tokens = (
            requested - answer.end.cached_tokens - answer.end.imported_tokens
        )
        now = self.clock.monotonic()
        if missing_tokens > 0:
            size = missing_tokens // TOKENS_PER_BLOCK * KV_BYTES_PER_BLOCK
            self.limits.consume_link(answer.blocks.service, -size)
            self.store_states.on_import(answer.kept.store_url, succeeded=False, now=now)
        elif answer.end.imported_tokens:
            self.store_states.on_import(answer.kept.store_url, succeeded=True, now=now)
        if answer.end.imported_tokens:
            self.recorder.record(
                Event(
                    kind=EventKind.CONTEXT_IMPORTED,
                    request_id=answer.request_id,
                    customer=answer.blocks.customer,
                    service=answer.blocks.service,
                    target=answer.target,
                    detail=f"{answer.end.imported_tokens} tokens",
                )
            )

    def _plan_export(self, answer: AnsweredPrompt, lookup: LookupResult) -> None:
        blocks = answer.blocks
        document = self.documents.document(blocks.service)
        now = self.clock.monotonic()
        store_url = self._choose_export_store(blocks, lookup, now)
        if document is None or not store_url:
            return
        base = next(
            (stored for stored in lookup.stored if stored.store_url == store_url), None
        )
        reuse = self._reuse_model(blocks.service)
        candidate = ExportCandidate(
            blocks=len(blocks.hashes),
            stored_blocks=base.depth if base is not None else 0,
            reuse_probability=reuse.probability(blocks.customer),
            early_reuse_probability=reuse.probability_within(
                0.0, PROMOTION_WINDOW_SECONDS
            ),
            prefill_tokens_per_second=answer.prefill_tokens_per_second,
            tiers=self.store_states.tiers(store_url, now=now),
        )
        plan = plan_export(candidate, document.tiers.weights)
        if plan is None:
            return
        self.limits.add_link_demand(blocks.service, plan.size)
        self.exporter.queue.add(
            ExportJob(
                service=blocks.service,
                customer=blocks.customer,
                target=answer.target,
                store_url=store_url,
                salt=blocks.salt,
                weight_version=blocks.weight_version,
                key=directory_keys(blocks.hashes)[0],
                hashes=blocks.hashes,
                base=base.runs if base is not None else (),
                plan=plan,
                queued_at=now,
            )
        )

    def _choose_export_store(
        self, blocks: PromptBlocks, lookup: LookupResult, now: float
    ) -> str:
        """Return the store that has leading blocks, else one by rendezvous hashing."""
        usable = [
            handle.store_url
            for handle in self._stores(blocks.service)
            if self.store_states.usable(handle.store_url, now=now)
        ]
        for stored in lookup.stored:
            if stored.store_url in usable:
                return stored.store_url
        return owner(directory_keys(blocks.hashes)[0], usable) if usable else ""

    def _may_export(self, service: str) -> bool:
        """Return whether the link credit exceeds the share reserved for imports."""
        return self.limits.link_credit_share(service) > IMPORT_RESERVE_SHARE

    def _reuse_model(self, service: str) -> ReuseModel:
        return self.reuse_models.setdefault(service, ReuseModel())

    def _record_call(self, store_url: str, *, succeeded: bool) -> None:
        self.store_states.on_call(
            store_url, succeeded=succeeded, now=self.clock.monotonic()
        )

    def _store(self, store_url: str) -> StoreHandle | None:
        handles = (
            handle for handle in self.source.stores() if handle.store_url == store_url
        )
        return next(handles, None)

    def _stores(self, service: str) -> Sequence[StoreHandle]:
        return [handle for handle in self.source.stores() if handle.service == service]

    def _tier_of(self, blocks: PromptBlocks, store_url: str) -> str:
        lookup = self.lookups.get(blocks.hashes[-1], EMPTY_LOOKUP_RESULT)
        tiers = (
            stored.tier for stored in lookup.stored if stored.store_url == store_url
        )
        return next(tiers, "")

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _on_report(self, report: StoreReport) -> None:
        now = self.clock.monotonic()
        self.store_states.on_report(report.store_url, report.tiers, now=now)

    async def _async_on_report(self, _peer: EntryId, message: StoreReport) -> None:
        self._on_report(message)


def _held_prefix_length(names: tuple[str, ...], held: set[str]) -> int:
    """Return the number of leading names that are held."""
    for count, name in enumerate(names):
        if name not in held:
            return count
    return len(names)
