"""Queue of outcomes to be recorded in a later commit."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
import logging

from gypsumsail.core.callback import callback
from gypsumsail.once.const import MAX_OUTCOMES_PER_SUBMISSION, OUTCOME_QUEUE_LIMIT
from gypsumsail.once.errors import LedgerUnavailableError
from gypsumsail.once.keys import partition_of
from gypsumsail.once.partitioned_ledger import PartitionedLedger
from gypsumsail.once.records import Abandoned, Ended, LedgerRecord

LOGGER = logging.getLogger(__name__)

OutcomeRecord = Ended | Abandoned


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingOutcome:
    """An outcome and the monotonic time at which it was queued."""

    record: OutcomeRecord
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
    def add(self, record: OutcomeRecord, now: float) -> None:
        """Add an outcome; it is dropped and counted if the queue is full."""
        if len(self) >= OUTCOME_QUEUE_LIMIT:
            self.lost += 1
            return
        waiting = self.waiting.setdefault(partition_of(record.key), [])
        waiting.append(PendingOutcome(record=record, since=now))

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    def __iter__(self) -> Iterator[PendingOutcome]:
        for waiting in self.waiting.values():
            yield from waiting

    @callback
    def dequeue(self, partition: int) -> tuple[PendingOutcome, ...]:
        """Remove a batch of a partition's outcomes; call ``requeue`` if they fail."""
        waiting = self.waiting.pop(partition, [])
        if len(waiting) > MAX_OUTCOMES_PER_SUBMISSION:
            self.waiting[partition] = waiting[MAX_OUTCOMES_PER_SUBMISSION:]
        return tuple(waiting[:MAX_OUTCOMES_PER_SUBMISSION])

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
            await self.ledger.async_record(partition, ledger_records(dequeued))
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


def ledger_records(outcomes: tuple[PendingOutcome, ...]) -> tuple[LedgerRecord, ...]:
    """Return the ledger records of queued outcomes."""
    return tuple(outcome.record for outcome in outcomes)
