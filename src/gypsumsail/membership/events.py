"""Timeline events for changes of the membership."""

from __future__ import annotations

from gypsumsail.membership.models import (
    EntryJoined,
    EntryLost,
    MembershipChange,
    TargetLeaving,
    VmsChanged,
)
from gypsumsail.peers.port import EntryId
from gypsumsail.timeline.models import Event, EventKind


def event_of(change: MembershipChange) -> Event | None:
    """Return the timeline event of a change, if it has one."""
    match change:
        case EntryJoined(entry=entry):
            return Event(kind=EventKind.PEER_JOINED, detail=_text(entry))
        case EntryLost(entry=entry):
            return Event(kind=EventKind.PEER_LOST, detail=_text(entry))
        case TargetLeaving(vm_id=vm_id, incarnation=incarnation):
            return Event(
                kind=EventKind.TARGET_LEAVING, target=vm_id, detail=incarnation
            )
        case VmsChanged():
            return None


def _text(entry: EntryId) -> str:
    return f"{entry.name} {entry.incarnation} {entry.zone}"
