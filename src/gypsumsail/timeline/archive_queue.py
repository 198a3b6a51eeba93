"""Queue of events that are waiting to be archived."""

from __future__ import annotations

from collections import deque
from itertools import islice
from typing import Final

from gypsumsail.timeline.const import ARCHIVE_PAGE_EVENTS, ARCHIVE_QUEUE_EVENTS
from gypsumsail.timeline.models import EventKind
from gypsumsail.timeline.records import Page, ProcessId, RecordedEvent

KINDS_NOT_ARCHIVED: Final = frozenset(
    {
        EventKind.REQUEST_ACCEPTED,
        EventKind.CONTEXT_EXPORTED,
        EventKind.CONTEXT_IMPORTED,
        EventKind.PEER_JOINED,
        EventKind.PEER_LOST,
    }
)
"""Kinds of events that are kept only in the memory of the process."""


class ArchiveQueue:
    """Bounded queue of events; dropped events appear as gaps between its pages.

    Attributes
    ----------
    first_unarchived
        Sequence number of the first event that is neither covered by an archived
        page nor dropped.
    latest
        Sequence number of the newest event of the process.
    """

    def __init__(
        self, process: ProcessId, capacity: int = ARCHIVE_QUEUE_EVENTS
    ) -> None:
        self.process = process
        self.capacity = capacity
        self.queued: deque[RecordedEvent] = deque()
        self.first_unarchived = 1
        self.latest = 0

    def add(self, recorded: RecordedEvent) -> None:
        """Queue one event; the oldest one is dropped if the queue is full."""
        self.latest = recorded.sequence
        if recorded.event.kind in KINDS_NOT_ARCHIVED:
            return
        self.queued.append(recorded)
        if len(self.queued) > self.capacity:
            self.first_unarchived = self.queued.popleft().sequence + 1

    def next_page(self, limit: int = ARCHIVE_PAGE_EVENTS) -> Page | None:
        """Return the next page to archive, or ``None`` if the queue is empty.

        The events stay queued until the page is acknowledged.
        """
        if not self.queued:
            return None
        events = tuple(islice(self.queued, limit))
        is_last_page = len(events) == len(self.queued)
        return Page(
            process=self.process,
            first=self.first_unarchived,
            last=self.latest if is_last_page else events[-1].sequence,
            latest=self.latest,
            whole=False,
            events=events,
        )

    def acknowledge(self, page: Page) -> None:
        """Remove the events of a page that was archived."""
        while self.queued and self.queued[0].sequence <= page.last:
            self.queued.popleft()
        self.first_unarchived = max(self.first_unarchived, page.last + 1)
