"""Builders and fakes for the tests of the tiers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Final, cast

from gypsumsail.context.const import KV_BYTES_PER_BLOCK
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.generation import Generation
from gypsumsail.context.port import EngineHandle, StoreHandle
from gypsumsail.context.prompt import PromptBlocks
from gypsumsail.context.store_view import StoredExport
from gypsumsail.core.errors import TransportError
from gypsumsail.document.models import ServiceDocument, TierWeights
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.peers.port import EntryId
from gypsumsail.stores.port import (
    StoreContents,
    StoredBlock,
    StoreLoad,
    Tier,
    TierLoad,
)
from gypsumsail.targets.port import (
    AnswerEnd,
    CacheEvents,
    EngineClient,
    ExportBlocks,
    ExportResult,
    FinishReason,
    StoredBlocks,
)
from gypsumsail.tiers.coordinator import AnsweredPrompt, TierCoordinator
from gypsumsail.tiers.export_plan import ExportCandidate
from tests.common import EventLog, ManualClock
from tests.context.common import STORE, FakeNetwork, make_hashes
from tests.limits.test_coordinator import OneDocument

SERVICE: Final = "claims"
WEIGHTS: Final = TierWeights(first_token=0.6, recomputed=0.3, link_use=0.1)
HASHES: Final = make_hashes(range(40))


def make_tier(tier: str, **changes: Any) -> TierLoad:
    """Return the load of an empty tier with a fast link."""
    values: dict[str, Any] = {
        "tier": Tier(tier),
        "used": 0,
        "limit": 1000 * KV_BYTES_PER_BLOCK,
        "queued_bytes": 0,
        "bytes_per_second": 100e6,
    }
    return TierLoad(**(values | changes))


def make_candidate(**changes: Any) -> ExportCandidate:
    """Return an export candidate that is worth exporting."""
    values: dict[str, Any] = {
        "blocks": 40,
        "stored_blocks": 0,
        "reuse_probability": 0.5,
        "early_reuse_probability": 0.0,
        "prefill_tokens_per_second": 10_000.0,
        "tiers": (make_tier("memory"), make_tier("disk")),
    }
    return ExportCandidate(**(values | changes))


def make_export(number: int, **changes: Any) -> StoredExport:
    """Return an export of ten blocks of ten bytes."""
    key = changes.pop("key", f"{number:016x}")
    generation = Generation(
        attempt=f"g{number}", start=changes.pop("start", 0), key=key
    )
    values: dict[str, Any] = {
        "generation": generation,
        "tier": Tier.MEMORY,
        "block_size": 10,
        "used_at": 0.0,
        "hashes": bytes(16 * 10),
    }
    return StoredExport(**(values | changes))


def make_blocks(hashes: tuple[str, ...] = HASHES) -> PromptBlocks:
    """Return the blocks of a prompt."""
    return PromptBlocks(
        service=SERVICE, customer="ares", weight_version="v1", salt="s", hashes=hashes
    )


def make_answer(**changes: Any) -> AnsweredPrompt:
    """Return a prompt that engine ``e`` computed and answered completely."""
    end = AnswerEnd(
        finish_reason=FinishReason.STOP,
        weight_version=changes.pop("weight_version", "v1"),
        prompt_tokens=40 * 256,
        cached_tokens=0,
        imported_tokens=changes.pop("imported_tokens", 0),
        answer_tokens=5,
    )
    values: dict[str, Any] = {
        "request_id": "r",
        "blocks": make_blocks(),
        "target": "e",
        "kept": None,
        "end": end,
        "prefill_tokens_per_second": 5000.0,
    }
    return AnsweredPrompt(**(values | changes))


@dataclass
class FakeStore:
    """In-memory store.

    Attributes
    ----------
    blocks
        Tier of each stored block by name.
    freed
        Names of all blocks that were freed.
    dead
        Whether all calls fail.
    """

    incarnation: str = "1"
    blocks: dict[str, Tier] = field(default_factory=dict)
    freed: set[str] = field(default_factory=set)
    dead: bool = False

    async def async_load(self) -> StoreLoad:
        self._check()
        used = len(self.blocks) * KV_BYTES_PER_BLOCK
        tiers = (make_tier("memory", used=used), make_tier("disk"))
        return StoreLoad(incarnation=self.incarnation, tiers=tiers, sequence=1)

    async def async_contents(self, *, after: int) -> StoreContents:
        self._check()
        blocks = tuple(
            StoredBlock(name=name, tier=tier, size=KV_BYTES_PER_BLOCK)
            for name, tier in self.blocks.items()
        )
        return StoreContents(incarnation=self.incarnation, sequence=0, blocks=blocks)

    async def async_hold(self, names: tuple[str, ...], *, seconds: float) -> set[str]:
        self._check()
        return self.blocks.keys() & set(names)

    async def async_free(self, names: tuple[str, ...]) -> None:
        self._check()
        self.freed.update(names)
        for name in names:
            self.blocks.pop(name, None)

    async def async_move(self, names: tuple[str, ...], *, tier: Tier) -> None:
        self._check()
        self.blocks.update(dict.fromkeys(names, tier))

    def _check(self) -> None:
        if self.dead:
            raise TransportError("store is down", sent=False)


@dataclass
class FakeEngine:
    """Engine that exports blocks to a fake store.

    Attributes
    ----------
    fails_at
        Indices of the blocks in each call that are not written.
    orders
        Export requests received.
    """

    store: FakeStore
    fails_at: frozenset[int] = frozenset()
    orders: list[ExportBlocks] = field(default_factory=list)

    async def async_export(self, order: ExportBlocks) -> ExportResult:
        self.orders.append(order)
        stored = []
        for index, block in enumerate(order.block_hashes):
            if index in self.fails_at:
                continue
            self.store.blocks[f"{block}.{order.generation}"] = Tier(order.tier)
            stored.append(block)
        size = len(stored) * KV_BYTES_PER_BLOCK
        return ExportResult(stored=tuple(stored), bytes_sent=size)

    async def async_cache_contents(self) -> CacheEvents:
        raise TransportError("fake engine has no cache contents", sent=False)


@dataclass
class FakeSource:
    """Target source of one engine and one store."""

    engine: FakeEngine
    store: FakeStore

    def engines(self) -> Sequence[EngineHandle]:
        engine = cast(EngineClient, self.engine)
        return [EngineHandle(target="e", service=SERVICE, zone="a", engine=engine)]

    def stores(self) -> Sequence[StoreHandle]:
        return [
            StoreHandle(store_url=STORE, service=SERVICE, zone="a", store=self.store)
        ]


class Entry:
    """The coordinators of one entry that handle cached prompts."""

    def __init__(
        self,
        name: str,
        networks: dict[EntryId, FakeNetwork],
        source: FakeSource,
        clock: ManualClock,
    ) -> None:
        me = EntryId(name=name, incarnation="1", zone="a")
        network = FakeNetwork(me, networks)
        documents = OneDocument()
        self.events = EventLog()
        self.clock = clock
        self.context = ContextCoordinator(me, network, source, clock)
        self.limits = LimitCoordinator(me, network, documents, clock, Random(1))
        self.tiers = TierCoordinator(
            me,
            network,
            self.context,
            self.limits,
            source,
            documents,
            self.events,
            clock,
            Random(1),
        )

    async def async_setup(self) -> None:
        await self.context.async_setup()
        await self.tiers.async_setup()

    async def async_unload(self) -> None:
        await self.tiers.async_unload()
        await self.context.async_unload()

    async def async_hold(self, kept: StoredBlocks | None) -> StoredBlocks | None:
        return await self.tiers.async_hold(
            make_blocks(), kept, cached_blocks=0, deadline=10.0
        )


class LargeBudgetDocuments:
    """Document source with a link budget that no test exhausts."""

    def document(self, service: str) -> ServiceDocument | None:
        document = OneDocument().document(service)
        if document is None:
            return None
        tiers = replace(document.tiers, link_bytes_per_second=1e9)
        return replace(document, tiers=tiers)
