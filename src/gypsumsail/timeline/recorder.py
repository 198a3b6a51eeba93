"""Records the latest events of this process in memory."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from itertools import islice

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.timeline.archive_queue import ArchiveQueue
from gypsumsail.timeline.const import (
    MAX_DETAIL_CHARACTERS,
    MAX_FIELD_CHARACTERS,
    MILLISECONDS_PER_SECOND,
    OPERATOR_PAGE_EVENTS,
    RING_BUFFER_EVENTS,
)
from gypsumsail.timeline.hlc import HybridLogicalClock, Timestamp
from gypsumsail.timeline.models import Event
from gypsumsail.timeline.records import Page, ProcessId, RecordedEvent


class TimelineRecorder:
    """Bounded ring buffer of events; overwritten events are missing from later pages.

    Attributes
    ----------
    process
        Name and incarnation of the process that records the events.
    archive_queue
        Queue of events that are waiting to be archived.
    """

    def __init__(
        self, process: ProcessId, clock: Clock, capacity: int = RING_BUFFER_EVENTS
    ) -> None:
        self.process = process
        self.clock = clock
        self.hybrid_clock = HybridLogicalClock()
        self.ring_buffer: deque[RecordedEvent] = deque(maxlen=capacity)
        self.latest = 0
        self.archive_queue = ArchiveQueue(process)

    @callback
    def record(self, event: Event) -> None:
        """Record one event; never blocks and never raises."""
        wall_ms = self.wall_ms()
        self.latest += 1
        recorded = RecordedEvent(
            sequence=self.latest,
            stamp=self.hybrid_clock.tick(wall_ms),
            wall_ms=wall_ms,
            event=_truncate(event),
        )
        self.ring_buffer.append(recorded)
        self.archive_queue.add(recorded)

    @callback
    def timestamp(self) -> Timestamp:
        """Return the timestamp to send with a message."""
        return self.hybrid_clock.tick(self.wall_ms())

    @callback
    def observe(self, remote: Timestamp) -> bool:
        """Adopt the timestamp of a message; return whether it was accepted."""
        return self.hybrid_clock.observe(remote, self.wall_ms())

    @callback
    def page_since(self, sequence: int, limit: int = OPERATOR_PAGE_EVENTS) -> Page:
        """Return a page of the events after a sequence number, oldest first.

        If events after the sequence number were overwritten, the page starts
        with the oldest available event and the events in between are lost.
        """
        oldest = self.ring_buffer[0].sequence if self.ring_buffer else self.latest + 1
        first = max(sequence + 1, oldest)
        skip = first - oldest
        events = tuple(islice(self.ring_buffer, skip, skip + limit))
        return Page(
            process=self.process,
            first=first,
            last=events[-1].sequence if events else first - 1,
            latest=self.latest,
            whole=True,
            events=events,
        )

    def wall_ms(self) -> int:
        """Return the wall clock of this VM in milliseconds since the Unix epoch."""
        return int(self.clock.wall() * MILLISECONDS_PER_SECOND)


def _truncate(event: Event) -> Event:
    """Return the event with its texts truncated to their limits."""
    texts = (event.request_id, event.customer, event.service, event.target)
    longest = max(len(event.document), *(len(text) for text in texts))
    if longest <= MAX_FIELD_CHARACTERS and len(event.detail) <= MAX_DETAIL_CHARACTERS:
        return event
    return replace(
        event,
        request_id=event.request_id[:MAX_FIELD_CHARACTERS],
        customer=event.customer[:MAX_FIELD_CHARACTERS],
        service=event.service[:MAX_FIELD_CHARACTERS],
        target=event.target[:MAX_FIELD_CHARACTERS],
        document=event.document[:MAX_FIELD_CHARACTERS],
        detail=event.detail[:MAX_DETAIL_CHARACTERS],
    )
