"""Outcomes that wait to be recorded in a later commit."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
import logging

from gypsumsail.core.callback import callback
from gypsumsail.once.const import OUTCOME_BATCH_LIMIT, OUTCOMES_WAITING_LIMIT
from gypsumsail.once.errors import LedgerUnavailableError
from gypsumsail.once.keys import partition_of
from gypsumsail.once.ledgers import Ledgers
from gypsumsail.once.records import Abandoned, Ended, LedgerEntry

LOGGER = logging.getLogger(__name__)

OutcomeEntry = Ended | Abandoned


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingOutcome:
    """An outcome and the monotonic time since which it waits."""

    entry: OutcomeEntry
    since: float


class OutcomeQueue:
    """Holds outcomes until the ledger has them.

    Attributes
    ----------
    waiting
        Outcomes by partition, oldest first.
    lost
        Outcomes dropped because too many waited; their keys stay ``may have
        run`` until the retention ends.
    """

    def __init__(self, ledgers: Ledgers) -> None:
        self.ledgers = ledgers
        self.waiting: dict[int, list[WaitingOutcome]] = {}
        self.lost = 0

    @callback
    def add(self, entry: OutcomeEntry, now: float) -> None:
        """Add an outcome; at the limit it is dropped and counted."""
        if len(self) >= OUTCOMES_WAITING_LIMIT:
            self.lost += 1
            return
        waiting = self.waiting.setdefault(partition_of(entry.key), [])
        waiting.append(WaitingOutcome(entry=entry, since=now))

    def __len__(self) -> int:
        return sum(map(len, self.waiting.values()))

    def __iter__(self) -> Iterator[WaitingOutcome]:
        for waiting in self.waiting.values():
            yield from waiting

    @callback
    def take(self, partition: int) -> tuple[WaitingOutcome, ...]:
        """Take outcomes of a partition to record them; ``put_back`` on failure."""
        waiting = self.waiting.pop(partition, [])
        if len(waiting) > OUTCOME_BATCH_LIMIT:
            self.waiting[partition] = waiting[OUTCOME_BATCH_LIMIT:]
        return tuple(waiting[:OUTCOME_BATCH_LIMIT])

    @callback
    def put_back(self, partition: int, outcomes: tuple[WaitingOutcome, ...]) -> None:
        """Keep outcomes that could not be recorded."""
        if outcomes:
            self.waiting.setdefault(partition, [])[:0] = outcomes

    async def async_flush(self) -> None:
        """Record what waits; what can't be recorded stays."""
        await asyncio.gather(*map(self._async_flush_partition, list(self.waiting)))

    async def _async_flush_partition(self, partition: int) -> None:
        taken = self.take(partition)
        try:
            await self.ledgers.async_record(partition, entries_of(taken))
        except LedgerUnavailableError as err:
            LOGGER.debug("Outcomes of ledger %s wait: %s", partition, err)
            self.put_back(partition, taken)
        except BaseException:
            self.put_back(partition, taken)
            raise


def entries_of(outcomes: tuple[WaitingOutcome, ...]) -> tuple[LedgerEntry, ...]:
    """Return the ledger entries of outcomes."""
    return tuple(outcome.entry for outcome in outcomes)
