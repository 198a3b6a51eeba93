"""Port through which all parts report events."""

from __future__ import annotations

from typing import Protocol

from gypsumsail.timeline.models import Event


class Recorder(Protocol):
    """Sink of time line events."""

    def record(self, event: Event) -> None:
        """Take one event; never blocks and never raises."""
