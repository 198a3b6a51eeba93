"""Which events a reader asks for."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.timeline.models import Event


@dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """Wanted fields; an empty one matches all events."""

    request_id: str = ""
    customer: str = ""
    target: str = ""
    document: str = ""

    def matches(self, event: Event) -> bool:
        """Return whether an event has all wanted fields."""
        return (
            self.request_id in ("", event.request_id)
            and self.customer in ("", event.customer)
            and self.target in ("", event.target)
            and self.document in ("", event.document)
        )
