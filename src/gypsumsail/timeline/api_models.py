"""Pages as JSON objects of the operator API, validated on input."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

from gypsumsail.timeline.hlc import Timestamp
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.records import Page, ProcessId, RecordedEvent


class EventModel(BaseModel):
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


class PageModel(BaseModel):
    """One page in the operator API."""

    model_config = ConfigDict(frozen=True)

    process: str
    incarnation: str
    first: int
    last: int
    latest: int
    whole: bool
    events: tuple[EventModel, ...]


def event_to_model(recorded: RecordedEvent) -> EventModel:
    """Convert an event to a model."""
    event = recorded.event
    return EventModel(
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


def page_to_model(page: Page) -> PageModel:
    """Convert a page to a model."""
    return PageModel(
        process=page.process.name,
        incarnation=page.process.incarnation,
        first=page.first,
        last=page.last,
        latest=page.latest,
        whole=page.whole,
        events=tuple(event_to_model(recorded) for recorded in page.events),
    )


def page_from_model(model: PageModel) -> Page:
    """Convert a model to a page."""
    return Page(
        process=ProcessId(name=model.process, incarnation=model.incarnation),
        first=model.first,
        last=model.last,
        latest=model.latest,
        whole=model.whole,
        events=tuple(_event_from_model(item) for item in model.events),
    )


def _event_from_model(model: EventModel) -> RecordedEvent:
    return RecordedEvent(
        sequence=model.sequence,
        stamp=Timestamp(model.stamp_ms, model.stamp_counter),
        wall_ms=model.wall_ms,
        event=Event(
            kind=model.kind,
            request_id=model.request,
            customer=model.customer,
            service=model.service,
            target=model.target,
            document=model.document,
            version=model.version,
            detail=model.detail,
        ),
    )
