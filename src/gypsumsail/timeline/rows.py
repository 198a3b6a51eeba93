"""Pages as JSON rows for the operator API, validated on input."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from gypsumsail.timeline.hlc import Timestamp
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.records import Page, ProcessId, RecordedEvent


class EventRow(BaseModel):
    """One event in the operator API."""

    model_config = ConfigDict(frozen=True)

    sequence: int
    stamp_ms: int
    stamp_counter: int
    wall_ms: int
    kind: EventKind
    request: str = ""
    customer: str = ""
    service: str = ""
    target: str = ""
    document: str = ""
    version: int = 0
    detail: str = ""


class PageRow(BaseModel):
    """One page in the operator API."""

    model_config = ConfigDict(frozen=True)

    process: str
    incarnation: str
    first: int
    last: int
    latest: int
    whole: bool
    events: tuple[EventRow, ...]


def event_to_row(recorded: RecordedEvent) -> EventRow:
    """Convert an event to a row."""
    event = recorded.event
    return EventRow(
        sequence=recorded.sequence,
        stamp_ms=recorded.stamp.wall_ms,
        stamp_counter=recorded.stamp.counter,
        wall_ms=recorded.wall_ms,
        kind=event.kind,
        request=event.request_id,
        customer=event.customer,
        service=event.service,
        target=event.target,
        document=event.document,
        version=event.version,
        detail=event.detail,
    )


def page_to_row(page: Page) -> PageRow:
    """Convert a page to a row."""
    return PageRow(
        process=page.process.name,
        incarnation=page.process.incarnation,
        first=page.first,
        last=page.last,
        latest=page.latest,
        whole=page.whole,
        events=tuple(event_to_row(recorded) for recorded in page.events),
    )


def page_from_row(row: PageRow) -> Page:
    """Convert a row to a page."""
    return Page(
        process=ProcessId(name=row.process, incarnation=row.incarnation),
        first=row.first,
        last=row.last,
        latest=row.latest,
        whole=row.whole,
        events=tuple(_event_from_row(item) for item in row.events),
    )


def _event_from_row(row: EventRow) -> RecordedEvent:
    return RecordedEvent(
        sequence=row.sequence,
        stamp=Timestamp(row.stamp_ms, row.stamp_counter),
        wall_ms=row.wall_ms,
        event=Event(
            kind=row.kind,
            request_id=row.request,
            customer=row.customer,
            service=row.service,
            target=row.target,
            document=row.document,
            version=row.version,
            detail=row.detail,
        ),
    )
