"""Queues of notes to the directories of all zones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.context.const import (
    MAX_PUBLISH_QUEUE,
    NOTE_BYTES,
    PUBLISH_BATCH,
    PUBLISH_BURST_BYTES,
    PUBLISH_BYTES_PER_SECOND,
)
from gypsumsail.context.models import PromptNote
from gypsumsail.peers.port import EntryId


def note_bytes(note: PromptNote) -> int:
    """Return about how many bytes a note takes on the link."""
    return NOTE_BYTES + len(note.chain.marks)


@dataclass(slots=True)
class NoteBudget:
    """Token bucket of the bytes that may be sent to other zones.

    Attributes
    ----------
    saved
        Bytes that may be sent at once.
    """

    saved: float = PUBLISH_BURST_BYTES
    updated: float = 0.0

    def take(self, size: int, *, now: float) -> bool:
        """Return whether so many bytes may be sent now, and count them."""
        earned = max(now - self.updated, 0.0) * PUBLISH_BYTES_PER_SECOND
        self.saved = min(self.saved + earned, PUBLISH_BURST_BYTES)
        self.updated = max(now, self.updated)
        if size > self.saved:
            return False
        self.saved -= size
        return True


@dataclass(slots=True)
class PublishQueue:
    """Notes that wait to be sent, by destination.

    Attributes
    ----------
    dropped
        Notes that found no room or no budget. A directory that misses them
        knows less; it is never wrong for it.
    """

    zone: str
    budget: NoteBudget = field(default_factory=NoteBudget)
    notes: dict[EntryId, list[PromptNote]] = field(default_factory=dict)
    size: int = 0
    dropped: int = 0

    def add(
        self, note: PromptNote, destinations: Iterable[EntryId], *, now: float
    ) -> None:
        """Queue a note; to other zones only within the budget."""
        for destination in destinations:
            if self.size >= MAX_PUBLISH_QUEUE:
                self.dropped += 1
                continue
            abroad = destination.zone != self.zone
            if abroad and not self.budget.take(note_bytes(note), now=now):
                self.dropped += 1
                continue
            self.notes.setdefault(destination, []).append(note)
            self.size += 1

    def take_batches(self) -> list[tuple[EntryId, tuple[PromptNote, ...]]]:
        """Return one batch for each destination."""
        batches = []
        for destination in list(self.notes):
            waiting = self.notes[destination]
            batch = tuple(waiting[:PUBLISH_BATCH])
            del waiting[:PUBLISH_BATCH]
            if not waiting:
                del self.notes[destination]
            self.size -= len(batch)
            batches.append((destination, batch))
        return batches
