"""Group commit of records to one ledger partition."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice
import logging

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.object_api.port import ObjectApi
from gypsumsail.once.circuit_breaker import CallPermit, PlatformCircuitBreaker
from gypsumsail.once.const import (
    COMMIT_INTERVAL_SECONDS,
    COMMIT_TIMEOUT_SECONDS,
    RECORDS_PER_BATCH,
)
from gypsumsail.once.errors import (
    LedgerContendedError,
    LedgerCorruptError,
    LedgerUnavailableError,
    PlatformPausedError,
)
from gypsumsail.once.ledger import SubmitResult
from gypsumsail.once.records import LedgerRecord
from gypsumsail.once.store import LedgerStore

LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingRecords:
    records: tuple[LedgerRecord, ...]
    results: asyncio.Future[tuple[SubmitResult, ...]]
    is_probe: bool


@dataclass(slots=True, kw_only=True)
class CommitCounters:
    """Number of attempted commits to all partitions, and of their ledger records."""

    attempted_commits: int = 0
    submitted_records: int = 0


class GroupCommitter:
    """Commits the records that are submitted during a commit together in the next one.

    A record that is submitted while no commit runs is written immediately, unless the
    last commit began less than ``COMMIT_INTERVAL_SECONDS`` ago. This limits the rate
    of writes to the platform.
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
        self.waiting: list[_PendingRecords] = []
        self.task: asyncio.Task[None] | None = None
        self.lock = asyncio.Lock()
        self.last_commit = float("-inf")

    async def async_submit(
        self, records: Sequence[LedgerRecord]
    ) -> tuple[SubmitResult, ...]:
        """Commit records in one batch with the other pending ones.

        Raises
        ------
        PlatformPausedError
            The circuit breaker is open; the records were not written.
        LedgerUnavailableError
            The commit was not confirmed; the records may be in the ledger.
        """
        permit = self.breaker.acquire_call(self.clock.monotonic())
        if permit is CallPermit.DENIED:
            raise PlatformPausedError(
                "circuit breaker is open after a platform failure"
            )
        loop = asyncio.get_running_loop()
        results: asyncio.Future[tuple[SubmitResult, ...]] = loop.create_future()
        self.waiting.append(
            _PendingRecords(
                records=tuple(records),
                results=results,
                is_probe=permit is CallPermit.PROBE,
            )
        )
        if self.task is None:
            self.task = asyncio.create_task(self._async_run())
        return await results

    @property
    def idle(self) -> bool:
        """Return whether no records are pending."""
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
        """Stop committing; pending records fail with ``LedgerUnavailableError``."""
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
            _fail_pending(
                self._drain(),
                LedgerUnavailableError("the committer stopped before the commit"),
            )

    def _next_batch(self) -> list[_PendingRecords]:
        """Remove the next batch; skip records whose submitter was cancelled."""
        self._release_probe(item for item in self.waiting if item.results.done())
        waiting = [item for item in self.waiting if not item.results.done()]
        count = 0
        records = 0
        while count < len(waiting) and records < RECORDS_PER_BATCH:
            records += len(waiting[count].records)
            count += 1
        self.waiting = waiting[count:]
        return waiting[:count]

    def _drain(self) -> list[_PendingRecords]:
        waiting, self.waiting = self.waiting, []
        self._release_probe(waiting)
        return waiting

    def _release_probe(self, dropped: Iterable[_PendingRecords]) -> None:
        """Release the probe if its records are dropped without a commit."""
        if any(item.is_probe for item in dropped):
            self.breaker.release_probe()

    async def _async_commit(self, batch: list[_PendingRecords]) -> None:
        self.last_commit = self.clock.monotonic()
        records = [record for item in batch for record in item.records]
        self.counters.attempted_commits += 1
        self.counters.submitted_records += len(records)
        try:
            async with self.lock, asyncio.timeout(COMMIT_TIMEOUT_SECONDS):
                results = iter(await self.store.async_commit(records))
        except (LedgerUnavailableError, TimeoutError) as err:
            self._fail(batch, err)
            return
        except BaseException:
            self.store.ledger = None
            self.breaker.record_failure(self.clock.monotonic())
            _fail_pending(batch, LedgerUnavailableError("commit was interrupted"))
            raise
        self.breaker.record_success()
        for item in batch:
            own = tuple(islice(results, len(item.records)))
            if not item.results.done():
                item.results.set_result(own)

    @callback
    def _fail(self, batch: list[_PendingRecords], err: Exception) -> None:
        LOGGER.warning(
            "Commit to ledger partition %s failed: %r", self.store.partition, err
        )
        self.store.ledger = None
        if isinstance(err, LedgerContendedError | LedgerCorruptError):
            # The platform answered, so the circuit breaker closes.
            self.breaker.record_success()
        else:
            self.breaker.record_failure(self.clock.monotonic())
        error = LedgerUnavailableError(f"commit failed: {err}")
        _fail_pending([*batch, *self._drain()], error)


def _fail_pending(
    waiting: list[_PendingRecords], error: LedgerUnavailableError
) -> None:
    for item in waiting:
        if not item.results.done():
            item.results.set_exception(error)
