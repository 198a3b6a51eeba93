"""Queue of outcomes to be recorded in a later commit."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
import logging

from gypsumsail.core.callback import callback
from gypsumsail.once.const import OUTCOME_QUEUE_LIMIT, OUTCOMES_PER_BATCH
from gypsumsail.once.errors import LedgerUnavailableError
from gypsumsail.once.keys import partition_of
from gypsumsail.once.partitioned_ledger import PartitionedLedger
from gypsumsail.once.records import Abandoned, Ended, LedgerEntry

LOGGER = logging.getLogger(__name__)

OutcomeEntry = Ended | Abandoned


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingOutcome:
    """An outcome and the monotonic time at which it was queued."""

    entry: OutcomeEntry
    since: float


class OutcomeQueue:
    """Queues outcomes until they are recorded in the ledger.

    Attributes
    ----------
    waiting
        Queued outcomes by partition, oldest first.
    lost
        Number of outcomes dropped because the queue was full. Their keys stay
        reserved, with run state ``may have run``, until the retention ends.
    """

    def __init__(self, ledger: PartitionedLedger) -> None:
        self.ledger = ledger
        self.waiting: dict[int, list[PendingOutcome]] = {}
        self.lost = 0

    @callback
    def add(self, entry: OutcomeEntry, now: float) -> None:
        """Add an outcome; it is dropped and counted if the queue is full."""
        if len(self) >= OUTCOME_QUEUE_LIMIT:
            self.lost += 1
            return
        waiting = self.waiting.setdefault(partition_of(entry.key), [])
        waiting.append(PendingOutcome(entry=entry, since=now))

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    def __iter__(self) -> Iterator[PendingOutcome]:
        for waiting in self.waiting.values():
            yield from waiting

    @callback
    def dequeue(self, partition: int) -> tuple[PendingOutcome, ...]:
        """Remove a batch of a partition's outcomes; call ``requeue`` if they fail."""
        waiting = self.waiting.pop(partition, [])
        if len(waiting) > OUTCOMES_PER_BATCH:
            self.waiting[partition] = waiting[OUTCOMES_PER_BATCH:]
        return tuple(waiting[:OUTCOMES_PER_BATCH])

    @callback
    def requeue(self, partition: int, outcomes: tuple[PendingOutcome, ...]) -> None:
        """Put outcomes that could not be recorded back at the front of the queue."""
        if outcomes:
            self.waiting.setdefault(partition, [])[:0] = outcomes

    async def async_flush(self) -> None:
        """Record the queued outcomes; those that fail stay queued."""
        await asyncio.gather(*map(self._async_flush_partition, list(self.waiting)))

    async def _async_flush_partition(self, partition: int) -> None:
        dequeued = self.dequeue(partition)
        try:
            await self.ledger.async_record(partition, ledger_entries(dequeued))
        except LedgerUnavailableError as err:
            LOGGER.debug(
                "Outcomes of ledger partition %s not recorded, retrying later: %s",
                partition,
                err,
            )
            self.requeue(partition, dequeued)
        except BaseException:
            self.requeue(partition, dequeued)
            raise


def ledger_entries(outcomes: tuple[PendingOutcome, ...]) -> tuple[LedgerEntry, ...]:
    """Return the ledger entries of queued outcomes."""
    return tuple(outcome.entry for outcome in outcomes)
