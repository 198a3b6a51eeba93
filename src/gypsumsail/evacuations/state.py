"""Zones that are evacuated, as far as this VM knows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from gypsumsail.core.callback import callback


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """An evacuated zone.

    Attributes
    ----------
    since
        Time at which this VM learned of the evacuation.
    source
        Origin of that: ``store`` or the name of another VM.
    """

    zone: str
    since: float
    source: str


def _ignore_end(zone: str, now: float) -> None:
    """Do nothing."""


@dataclass(slots=True)
class Evacuations:
    """The evacuated zones; held in memory only.

    Attributes
    ----------
    zones
        Evacuations in force, by zone. The mapping is never replaced, so that the
        placement can look zones up without a call.
    on_ended
        Called with a zone whose evacuation has ended and the time; its targets may be
        cold by then.
    """

    zones: dict[str, Evacuation] = field(default_factory=dict)
    on_ended: Callable[[str, float], None] = _ignore_end

    @callback
    def begin(self, zone: str, source: str, now: float) -> bool:
        """Put an evacuation in force; return whether it is new."""
        if zone in self.zones:
            return False
        self.zones[zone] = Evacuation(zone=zone, since=now, source=source)
        return True

    @callback
    def end(self, zone: str, now: float) -> bool:
        """End an evacuation; return whether it was in force."""
        if self.zones.pop(zone, None) is None:
            return False
        self.on_ended(zone, now)
        return True
