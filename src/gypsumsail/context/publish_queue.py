"""Queue of updates to the directory shards of all zones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.context.const import (
    MAX_PUBLISH_QUEUE,
    PUBLISH_BATCH,
    PUBLISH_BURST_BYTES,
    PUBLISH_BYTES_PER_SECOND,
    UPDATE_OVERHEAD_BYTES,
)
from gypsumsail.context.models import PromptUpdate
from gypsumsail.peers.port import EntryId


def update_bytes(update: PromptUpdate) -> int:
    """Return the approximate number of bytes that an update takes in a message."""
    return UPDATE_OVERHEAD_BYTES + len(update.chain.samples)


@dataclass(slots=True)
class SendBudget:
    """Token bucket that limits the bytes sent to other zones.

    Attributes
    ----------
    available_bytes
        Bytes that may be sent now.
    refilled_at
        Time of the last refill, by the clock of this entry.
    """

    available_bytes: float = PUBLISH_BURST_BYTES
    refilled_at: float = 0.0

    def take(self, size: int, *, now: float) -> bool:
        """Take ``size`` bytes from the bucket; return whether they were available."""
        refill = max(now - self.refilled_at, 0.0) * PUBLISH_BYTES_PER_SECOND
        self.available_bytes = min(self.available_bytes + refill, PUBLISH_BURST_BYTES)
        self.refilled_at = max(now, self.refilled_at)
        if size > self.available_bytes:
            return False
        self.available_bytes -= size
        return True


@dataclass(slots=True)
class PublishQueue:
    """Queued updates by destination.

    Attributes
    ----------
    zone
        Zone of this entry.
    updates
        Updates by destination, the oldest first.
    size
        Number of queued updates to all destinations.
    dropped
        Number of updates dropped because the queue was full or the budget was
        exhausted. A directory without them finds fewer cached prompts, but its
        records stay correct.
    """

    zone: str
    budget: SendBudget = field(default_factory=SendBudget)
    updates: dict[EntryId, list[PromptUpdate]] = field(default_factory=dict)
    size: int = 0
    dropped: int = 0

    def add(
        self, update: PromptUpdate, destinations: Iterable[EntryId], *, now: float
    ) -> None:
        """Queue an update; updates to other zones have to fit the send budget."""
        for destination in destinations:
            if self.size >= MAX_PUBLISH_QUEUE:
                self.dropped += 1
                continue
            crosses_zone = destination.zone != self.zone
            if crosses_zone and not self.budget.take(update_bytes(update), now=now):
                self.dropped += 1
                continue
            self.updates.setdefault(destination, []).append(update)
            self.size += 1

    def take_batches(self) -> list[tuple[EntryId, tuple[PromptUpdate, ...]]]:
        """Remove and return one batch of updates for each destination."""
        batches = []
        for destination in list(self.updates):
            waiting = self.updates[destination]
            batch = tuple(waiting[:PUBLISH_BATCH])
            del waiting[:PUBLISH_BATCH]
            if not waiting:
                del self.updates[destination]
            self.size -= len(batch)
            batches.append((destination, batch))
        return batches
