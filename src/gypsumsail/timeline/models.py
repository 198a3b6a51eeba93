"""Typed events of the timeline."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EventKind(StrEnum):
    """Kind of an event; the value is the stable name that operators filter by."""

    # Life cycle of an entry.
    ENTRY_STARTED = "entry.started"
    ENTRY_DRAINING = "entry.draining"
    ENTRY_STOPPED = "entry.stopped"
    # A request of a caller. It is sent to a target, or resumed at another target after
    # part of its answer was delivered.
    REQUEST_ACCEPTED = "request.accepted"
    REQUEST_REFUSED = "request.refused"
    REQUEST_SENT = "request.sent"
    REQUEST_RESUMED = "request.resumed"
    REQUEST_ENDED = "request.ended"
    REQUEST_CANCELLED = "request.cancelled"
    # The single run of a non-repeatable request was reserved, or its result recorded.
    RESERVED = "once.reserved"
    RESERVATION_ENDED = "once.ended"
    # A service document became active, failed validation, or was ignored because a
    # newer version is active (gated).
    DOCUMENT_IN_FORCE = "document.in_force"
    DOCUMENT_REJECTED = "document.rejected"
    DOCUMENT_GATED = "document.gated"
    # The lease that allows one entry to send orders, and its orders to the targets.
    LEASE_ACQUIRED = "lease.acquired"
    LEASE_LOST = "lease.lost"
    ORDER_SENT = "order.sent"
    ORDER_DONE = "order.done"
    # The platform is about to remove a target, or an attempt on a target failed.
    TARGET_LEAVING = "target.leaving"
    TARGET_LOST = "target.lost"
    # Another entry was found or is no longer reachable.
    PEER_JOINED = "peer.joined"
    PEER_LOST = "peer.lost"
    # KV cache blocks were copied to a store, or loaded from one by a target.
    CONTEXT_EXPORTED = "context.exported"
    CONTEXT_IMPORTED = "context.imported"
    # A request was found to have crashed a target.
    CRASH_VERDICT = "crash.verdict"
    # Represents a gap in the merged timeline; never recorded.
    EVENTS_LOST = "timeline.lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One event, before the recorder adds its sequence number and timestamp.

    Attributes
    ----------
    version
        Version of the document; 0 if the event is not about a document.
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
