"""Filter of timeline events."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.timeline.models import Event


@dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """Required field values; an empty field matches all events."""

    request_id: str = ""
    customer: str = ""
    target: str = ""
    document: str = ""

    def matches(self, event: Event) -> bool:
        """Return whether an event has all required values."""
        return (
            self.request_id in ("", event.request_id)
            and self.customer in ("", event.customer)
            and self.target in ("", event.target)
            and self.document in ("", event.document)
        )
