"""Group commit of entries to one ledger partition."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice
import logging

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.object_api.port import ObjectApi
from gypsumsail.once.circuit_breaker import PlatformCircuitBreaker
from gypsumsail.once.const import (
    COMMIT_INTERVAL_SECONDS,
    COMMIT_TIMEOUT_SECONDS,
    ENTRIES_PER_BATCH,
)
from gypsumsail.once.errors import (
    LedgerContendedError,
    LedgerCorruptError,
    LedgerUnavailableError,
    PlatformPausedError,
)
from gypsumsail.once.ledger import Verdict
from gypsumsail.once.records import LedgerEntry
from gypsumsail.once.store import LedgerStore

LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingEntries:
    entries: tuple[LedgerEntry, ...]
    verdicts: asyncio.Future[tuple[Verdict, ...]]


@dataclass(slots=True, kw_only=True)
class CommitCounters:
    """Number of commits to all partitions, and of the ledger entries in them."""

    commits: int = 0
    entries: int = 0


class GroupCommitter:
    """Batches the entries that are submitted while a commit runs into the next one.

    An entry that is submitted while no commit runs is written immediately. Under
    load, commits are ``COMMIT_INTERVAL_SECONDS`` apart, which limits the rate of
    writes to the platform.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        partition: int,
        breaker: PlatformCircuitBreaker,
        counters: CommitCounters,
    ) -> None:
        self.clock = clock
        self.store = LedgerStore(api, clock, partition)
        self.breaker = breaker
        self.counters = counters
        self.waiting: list[_PendingEntries] = []
        self.task: asyncio.Task[None] | None = None
        self.lock = asyncio.Lock()
        self.last_commit = float("-inf")

    async def async_submit(self, entries: Sequence[LedgerEntry]) -> tuple[Verdict, ...]:
        """Commit entries in one batch with the other pending ones.

        Raises
        ------
        PlatformPausedError
            The circuit breaker is open; the entries were not written.
        LedgerUnavailableError
            The commit was not confirmed; the entries may be in the ledger.
        """
        if not self.breaker.allow_call(self.clock.monotonic()):
            raise PlatformPausedError(
                "circuit breaker is open after a platform failure"
            )
        loop = asyncio.get_running_loop()
        verdicts: asyncio.Future[tuple[Verdict, ...]] = loop.create_future()
        self.waiting.append(_PendingEntries(entries=tuple(entries), verdicts=verdicts))
        if self.task is None:
            self.task = asyncio.create_task(self._async_run())
        return await verdicts

    @property
    def idle(self) -> bool:
        """Return whether no entries are pending."""
        return self.task is None

    async def async_clean_up(self) -> None:
        """Advance the ledger time and drop expired segments.

        Raises
        ------
        LedgerUnavailableError
            The partition could not be read or written.
        TimeoutError
            The platform did not answer in time.
        """
        async with self.lock, asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
            await self.store.async_clean_up()

    async def async_close(self) -> None:
        """Stop committing; pending entries fail with ``LedgerUnavailableError``."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def _async_run(self) -> None:
        try:
            while self.waiting:
                due = self.last_commit + COMMIT_INTERVAL_SECONDS
                await asyncio.sleep(max(0.0, due - self.clock.monotonic()))
                batch = self._next_batch()
                if batch:
                    await self._async_commit(batch)
        finally:
            self.task = None
            _refuse(self._drain(), LedgerUnavailableError("entry is shutting down"))

    def _next_batch(self) -> list[_PendingEntries]:
        """Remove the next batch; skip entries whose submitter was cancelled."""
        waiting = [item for item in self.waiting if not item.verdicts.done()]
        count = 0
        entries = 0
        while count < len(waiting) and entries < ENTRIES_PER_BATCH:
            entries += len(waiting[count].entries)
            count += 1
        self.waiting = waiting[count:]
        return waiting[:count]

    def _drain(self) -> list[_PendingEntries]:
        waiting, self.waiting = self.waiting, []
        return waiting

    async def _async_commit(self, batch: list[_PendingEntries]) -> None:
        self.last_commit = self.clock.monotonic()
        entries = [entry for item in batch for entry in item.entries]
        self.counters.commits += 1
        self.counters.entries += len(entries)
        try:
            async with self.lock, asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                verdicts = iter(await self.store.async_commit(entries))
        except (LedgerUnavailableError, TimeoutError) as err:
            self._fail(batch, err)
            return
        except BaseException:
            self.store.ledger = None
            self.breaker.record_failure(self.clock.monotonic())
            _refuse(batch, LedgerUnavailableError("commit was interrupted"))
            raise
        self.breaker.record_success()
        for item in batch:
            own = tuple(islice(verdicts, len(item.entries)))
            if not item.verdicts.done():
                item.verdicts.set_result(own)

    @callback
    def _fail(self, batch: list[_PendingEntries], err: Exception) -> None:
        LOGGER.warning(
            "Commit to ledger partition %s failed: %s", self.store.partition, err
        )
        self.store.ledger = None
        if isinstance(err, LedgerContendedError | LedgerCorruptError):
            self.breaker.record_success()
        else:
            self.breaker.record_failure(self.clock.monotonic())
        error = LedgerUnavailableError(f"commit failed: {err}")
        _refuse([*batch, *self._drain()], error)


def _refuse(waiting: list[_PendingEntries], error: LedgerUnavailableError) -> None:
    for item in waiting:
        if not item.verdicts.done():
            item.verdicts.set_exception(error)
