"""Typed events of the timeline."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EventKind(StrEnum):
    """Kind of an event; the value is the stable name that operators filter by."""

    ENTRY_STARTED = "entry.started"
    ENTRY_DRAINING = "entry.draining"
    ENTRY_STOPPED = "entry.stopped"
    REQUEST_ACCEPTED = "request.accepted"
    REQUEST_REFUSED = "request.refused"
    REQUEST_SENT = "request.sent"
    REQUEST_RESUMED = "request.resumed"
    REQUEST_ENDED = "request.ended"
    REQUEST_CANCELLED = "request.cancelled"
    RESERVED = "once.reserved"
    RESERVATION_ENDED = "once.ended"
    DOCUMENT_IN_FORCE = "document.in_force"
    DOCUMENT_REJECTED = "document.rejected"
    DOCUMENT_GATED = "document.gated"
    LEASE_ACQUIRED = "lease.acquired"
    LEASE_LOST = "lease.lost"
    ORDER_SENT = "order.sent"
    ORDER_DONE = "order.done"
    TARGET_LEAVING = "target.leaving"
    TARGET_LOST = "target.lost"
    PEER_JOINED = "peer.joined"
    PEER_LOST = "peer.lost"
    CONTEXT_EXPORTED = "context.exported"
    CONTEXT_IMPORTED = "context.imported"
    CRASH_VERDICT = "crash.verdict"
    EVENTS_LOST = "timeline.lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One event as reported by the code that records it.

    Attributes
    ----------
    detail
        Short human-readable text; must not contain prompt text, answers or keys.
    """

    kind: EventKind
    request_id: str = ""
    customer: str = ""
    service: str = ""
    target: str = ""
    document: str = ""
    version: int = 0
    detail: str = ""
