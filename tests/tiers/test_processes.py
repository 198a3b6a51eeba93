"""Tests of exports and imports with engines and a store in separate processes."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from random import Random

import httpx
import pytest

from bench.processes import Launcher, RunningProcess
from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.port import EngineHandle, StoreHandle
from gypsumsail.context.prompt import PromptBlocks, make_prompt_blocks
from gypsumsail.core.clock import SystemClock
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.peers.port import EntryId
from gypsumsail.stores.http import HttpStore
from gypsumsail.targets.http import HttpEngineClient
from gypsumsail.targets.port import AnswerEnd, EngineRequest, StoredBlocks
from gypsumsail.tiers.coordinator import AnsweredPrompt, TierCoordinator
from tests.common import EventLog
from tests.context.common import FakeNetwork
from tests.peers.common import async_until
from tests.stand_ins.common import ENGINE_ARGUMENTS, set_fault

from .common import SERVICE, LargeBudgetDocuments

PROMPT = "".join(f"vol AF {number:06d}; " for number in range(3000))


@dataclass
class EntryWithProcesses:
    """Coordinators of an entry, and two engines and a store in separate processes."""

    tiers: TierCoordinator
    context: ContextCoordinator
    engines: dict[str, HttpEngineClient]
    store: RunningProcess
    store_adapter: HttpStore

    def handle(self, target: str) -> EngineHandle:
        return EngineHandle(
            target=target, service=SERVICE, zone="a", engine=self.engines[target]
        )

    async def async_request(self, target: str, attempt: str) -> AnswerEnd:
        """Send a request as an entry does: look up, hold, send, record the answer."""
        blocks = make_blocks(PROMPT)
        lookup = await self.tiers.async_lookup(blocks)
        cached = self.context.cached_blocks(target, blocks.hashes, lookup)
        planned: StoredBlocks | None = None
        for prefix in self.tiers.importable_prefixes(blocks, lookup):
            planned = StoredBlocks(store_url=prefix.store_url, names=prefix.names)
        held = await self.tiers.async_hold(
            blocks, planned, cached_blocks=cached, deadline=20.0
        )
        request = EngineRequest(
            attempt_id=attempt,
            model="claims",
            adapter="",
            weight_version="v1",
            prompt=PROMPT,
            max_tokens=5,
            cache_salt=blocks.salt,
            priority=5,
            deadline=20.0,
            kept=held,
        )
        batches = [batch async for batch in self.engines[target].stream(request)]
        end = batches[-1][-1]
        assert isinstance(end, AnswerEnd)
        self.tiers.on_answer_ended(
            AnsweredPrompt(
                request_id=attempt,
                blocks=blocks,
                target=target,
                kept=held,
                end=end,
                prefill_tokens_per_second=5000.0,
            )
        )
        return end

    def stored(self) -> bool:
        records = self.context.directory.records.values()
        return any(record.stored for record in records)


@dataclass
class ProcessTargetSource:
    """Target source with the engines and the store of the processes."""

    engine_handles: list[EngineHandle]
    store_handles: list[StoreHandle]

    def engines(self) -> Sequence[EngineHandle]:
        return self.engine_handles

    def stores(self) -> Sequence[StoreHandle]:
        return self.store_handles


def make_blocks(prompt: str) -> PromptBlocks:
    return make_prompt_blocks(
        prompt,
        service=SERVICE,
        customer="ares",
        model="claims",
        adapter="",
        weight_version="v1",
    )


@pytest.fixture
async def entry(launcher: Launcher) -> AsyncIterator[EntryWithProcesses]:
    engines = {
        name: HttpEngineClient(
            (
                await launcher.start_module(name, "stand_ins.engine", ENGINE_ARGUMENTS)
            ).url
        )
        for name in ("e", "f")
    }
    store = await launcher.start_module("s", "stand_ins.store", ())
    adapter = HttpStore(store.url)
    handle = StoreHandle(store_url=store.url, service=SERVICE, zone="a", store=adapter)
    source = ProcessTargetSource([], [handle])
    me = EntryId(name="a1", incarnation="1", zone="a")
    network, clock, documents = (
        FakeNetwork(me, {}),
        SystemClock(),
        LargeBudgetDocuments(),
    )
    context = ContextCoordinator(me, network, source, clock)
    limits = LimitCoordinator(me, network, documents, clock, Random(1))
    tiers = TierCoordinator(
        me,
        network,
        context,
        limits,
        source,
        documents,
        EventLog(),
        clock,
        Random(1),
    )
    prepared_entry = EntryWithProcesses(tiers, context, engines, store, adapter)
    source.engine_handles = [prepared_entry.handle(name) for name in engines]
    await context.async_setup()
    await tiers.async_setup()
    now = clock.monotonic()
    await async_until(lambda: bool(tiers.store_states.tiers(store.url, now=now)))
    await async_until(lambda: all(view.synced for view in context.watch.views.values()))
    yield prepared_entry
    await tiers.async_unload()
    await context.async_unload()
    await adapter.async_close()
    for engine in engines.values():
        await engine.async_close()


async def test_blocks_exported_by_one_engine_are_imported_by_another(
    entry: EntryWithProcesses,
) -> None:
    first = await entry.async_request("e", "1")
    assert (first.cached_tokens, first.imported_tokens) == (0, 0)
    await async_until(entry.stored)
    blocks = make_blocks(PROMPT)
    second = await entry.async_request("f", "2")
    assert second.cached_tokens == 0
    assert second.imported_tokens == len(blocks.hashes) * 256
    view = entry.context.watch.views["f"]
    await async_until(lambda: view.cached_blocks(blocks.hashes) == len(blocks.hashes))
    third = await entry.async_request("f", "3")
    assert third.cached_tokens == len(blocks.hashes) * 256


async def test_answer_is_computed_when_the_store_is_down(
    entry: EntryWithProcesses,
) -> None:
    await entry.async_request("e", "1")
    await async_until(entry.stored)
    await entry.store.kill()
    answer = await entry.async_request("f", "2")
    assert (answer.cached_tokens, answer.imported_tokens) == (0, 0)
    assert answer.answer_tokens > 0


async def test_full_store_receives_no_export(
    entry: EntryWithProcesses, client: httpx.AsyncClient
) -> None:
    await set_fault(client, entry.store, "full", on=True)
    url, store_states, clock = (
        entry.store.url,
        entry.tiers.store_states,
        entry.tiers.clock,
    )

    def is_full() -> bool:
        tiers = store_states.tiers(url, now=clock.monotonic())
        return bool(tiers) and all(tier.used == tier.limit for tier in tiers)

    await async_until(is_full)
    await entry.async_request("e", "1")
    assert not entry.tiers.exporter.queue.jobs
    await set_fault(client, entry.store, "full", on=False)
    await async_until(lambda: not is_full())
    await entry.async_request("e", "2")
    await async_until(entry.stored)
