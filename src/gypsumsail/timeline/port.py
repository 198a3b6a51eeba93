"""Interface for recording timeline events."""

from __future__ import annotations

from typing import Protocol

from gypsumsail.timeline.models import Event


class Recorder(Protocol):
    """Recorder of timeline events."""

    def record(self, event: Event) -> None:
        """Record one event; never blocks and never raises."""
