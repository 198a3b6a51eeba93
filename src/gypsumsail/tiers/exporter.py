"""Execution of queued exports within the link budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from gypsumsail.context.coordinator import ContextCoordinator
from gypsumsail.context.generation import Generation, new_generation
from gypsumsail.context.models import StoredPrefix, StoredRun
from gypsumsail.context.port import EngineHandle, TargetSource
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError, TransportError
from gypsumsail.limits.coordinator import LimitCoordinator
from gypsumsail.targets.port import ExportBlocks
from gypsumsail.tiers.const import (
    EXPORT_INTERVAL_SECONDS,
    EXPORT_TIMEOUT_SECONDS,
    MAX_EXPORT_BLOCKS_PER_CALL,
    MAX_LINK_QUEUE_SECONDS,
    MAX_RUNNING_EXPORTS,
)
from gypsumsail.tiers.export_queue import ExportJob, ExportQueue
from gypsumsail.tiers.store_states import StoreStates
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

_LOGGER = logging.getLogger(__name__)


class Exporter:
    """Runs the exports of one entry, with limited concurrency.

    Parameters
    ----------
    may_start
        Returns whether the link budget of a service has credit for exports.
    """

    def __init__(
        self,
        context: ContextCoordinator,
        limits: LimitCoordinator,
        store_states: StoreStates,
        source: TargetSource,
        recorder: Recorder,
        clock: Clock,
        *,
        may_start: Callable[[str], bool],
    ) -> None:
        self.context = context
        self.limits = limits
        self.store_states = store_states
        self.source = source
        self.recorder = recorder
        self.clock = clock
        self.may_start = may_start
        self.queue = ExportQueue()
        self.running: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to run queued exports."""
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop; cancelled exports leave blocks that no directory record refers to."""
        tasks = list(self.running)
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._task = None

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(EXPORT_INTERVAL_SECONDS)
            self.start_next()

    @callback
    def start_next(self) -> None:
        """Start the most valuable export if the link has capacity for it."""
        if len(self.running) >= MAX_RUNNING_EXPORTS:
            return
        now = self.clock.monotonic()
        job = self.queue.take(now=now)
        if job is None:
            return
        if not self.may_start(job.service) or self._must_wait(job, now):
            self.queue.add(job)
            return
        task = asyncio.create_task(self._async_export(job))
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def _must_wait(self, job: ExportJob, now: float) -> bool:
        """Return whether the store is not usable or its link has too much queued."""
        tier = job.plan.tier
        if not self.store_states.usable(job.store_url, now=now):
            return True
        queued = self.store_states.queued_bytes(job.store_url, tier, now=now)
        speed = self.store_states.bytes_per_second(job.store_url, tier, now=now)
        return queued / speed > MAX_LINK_QUEUE_SECONDS

    async def _async_export(self, job: ExportJob) -> None:
        handle = self._engine(job.target)
        if handle is None:
            return
        generation = new_generation(job.plan.start, job.key)
        # Exclusive ends of the written blocks (end), of the whole plan (last) and of
        # the current call (stop).
        end = job.plan.start
        last = job.plan.start + job.plan.blocks
        while end < last:
            stop = min(end + MAX_EXPORT_BLOCKS_PER_CALL, last)
            count = await self._async_write(job, handle, generation, end, stop)
            end += count
            if end < stop:
                break
        if end > job.plan.start:
            self._publish(job, generation, end)

    async def _async_write(
        self,
        job: ExportJob,
        handle: EngineHandle,
        generation: Generation,
        start: int,
        stop: int,
    ) -> int:
        """Export some blocks; return the number of leading blocks that were written.

        A failed call is not repeated, because the store may already have blocks of
        the same names.
        """
        hashes = job.hashes[start:stop]
        request = ExportBlocks(
            cache_salt=job.salt,
            weight_version=job.weight_version,
            block_hashes=hashes,
            generation=str(generation),
            store_url=job.store_url,
            tier=str(job.plan.tier),
        )
        try:
            async with asyncio.timeout(EXPORT_TIMEOUT_SECONDS):
                result = await handle.engine.async_export(request)
        except (GypsumsailError, TimeoutError) as error:
            _LOGGER.info(
                "Export from engine %s failed and is not repeated: %s",
                job.target,
                error,
            )
            return 0
        self.limits.consume_link(job.service, result.bytes_sent)
        self.store_states.on_transfer(job.store_url, job.plan.tier, result.bytes_sent)
        stored = set(result.stored)
        written = 0
        while written < len(hashes) and hashes[written] in stored:
            written += 1
        await self._async_free_after_gap(job, generation, hashes[written:], stored)
        return written

    async def _async_free_after_gap(
        self,
        job: ExportJob,
        generation: Generation,
        rest: tuple[str, ...],
        stored: set[str],
    ) -> None:
        """Free blocks that were written after a block that was not."""
        names = tuple(f"{block}.{generation}" for block in rest if block in stored)
        handles = (
            handle
            for handle in self.source.stores()
            if handle.store_url == job.store_url
        )
        store = next((handle.store for handle in handles), None)
        if not names or store is None:
            return
        try:
            await store.async_free(names)
        except TransportError as error:
            _LOGGER.debug("Freeing blocks at store %s failed: %s", job.store_url, error)

    def _publish(self, job: ExportJob, generation: Generation, end: int) -> None:
        run = StoredRun(end=end, generation=str(generation))
        stored = StoredPrefix(
            store_url=job.store_url, tier=str(job.plan.tier), runs=(*job.base, run)
        )
        self.context.on_stored(job.hashes, stored)
        self.recorder.record(
            Event(
                kind=EventKind.CONTEXT_EXPORTED,
                customer=job.customer,
                service=job.service,
                target=job.target,
                detail=f"{end - job.plan.start} blocks to {job.plan.tier}",
            )
        )

    def _engine(self, target: str) -> EngineHandle | None:
        handles = (
            handle for handle in self.source.engines() if handle.target == target
        )
        return next(handles, None)
