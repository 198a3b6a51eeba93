"""Applies the changes of the evacuated zones that the catalog has received.

An object of the store evacuates the zone that its name states, whatever its content. A
removal ends the evacuation, unless it may be a write that a restored store has lost:
then the evacuation stays in force until the store, read after a grace time, still lacks
it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import isfinite

from gypsumsail.catalog.kind_state import Changes
from gypsumsail.core.callback import callback
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.evacuations.const import (
    MAX_LOGGED_ZONES,
    REWRITE_GRACE_SECONDS,
    ZONE_CHECK_DELAY_SECONDS,
)
from gypsumsail.evacuations.state import Evacuations
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.object_api.port import PlatformObject


@dataclass(slots=True)
class EvacuationUpdates:
    """Keeps the evacuated zones in step with the copy of their kind.

    Attributes
    ----------
    check
        Checks the content of an object; raises a ``GypsumsailError``.
    pending_ends
        Time from which a reading of the store confirms the end of an evacuation that
        a restored store lacks, by zone.
    unchecked
        Time at which a zone is compared with those of the targets and VMs, by zone.
    unreadable, unknown
        Zones whose object can't be read, and zones without any target or VM, that were
        logged.
    is_known_zone
        Returns whether any target or VM is in a zone.
    """

    state: Evacuations
    check: Callable[[bytes], None]
    log: DecisionLog
    pending_ends: dict[str, float] = field(default_factory=dict)
    unchecked: dict[str, float] = field(default_factory=dict)
    unreadable: dict[str, None] = field(default_factory=dict)
    unknown: dict[str, None] = field(default_factory=dict)
    is_known_zone: Callable[[str], bool] = lambda zone: True

    @callback
    def apply(
        self, changes: Changes, source: str, confirmed_at: float, now: float
    ) -> None:
        """Apply changes from the store or from another VM.

        Parameters
        ----------
        confirmed_at
            Time at which the store is known to have confirmed the copy.
        """
        for obj in changes.objects:
            zone = obj.key.partition("/")[2]
            if obj.value is not None:
                self._check(zone, obj, obj.value)
                self.pending_ends.pop(zone, None)
                if self.state.begin(zone, source, now):
                    self.unchecked[zone] = now + ZONE_CHECK_DELAY_SECONDS
                    self._log("zone evacuated", zone, source, now - confirmed_at)
            elif zone not in self.state.zones:
                continue
            elif changes.is_restored:
                self.pending_ends[zone] = now + REWRITE_GRACE_SECONDS
                self.log.write("evacuation not in the restored store", zone=zone)
            else:
                self._end(zone, source, now - confirmed_at, now)

    @callback
    def tick(self, confirmed_at: float, now: float) -> None:
        """End evacuations whose end is confirmed, and report unknown zones."""
        for zone, confirmed_from in list(self.pending_ends.items()):
            if confirmed_at >= confirmed_from:
                self._end(zone, "store", now - confirmed_at, now)
        for zone, check_at in list(self.unchecked.items()):
            if check_at <= now:
                del self.unchecked[zone]
                self._check_zone(zone)

    def _check_zone(self, zone: str) -> None:
        if zone not in self.unknown and not self.is_known_zone(zone):
            _remember(self.unknown, zone)
            self.log.write("evacuated zone unknown", zone=zone)

    def _end(self, zone: str, source: str, age: float, now: float) -> None:
        self.pending_ends.pop(zone, None)
        self.unchecked.pop(zone, None)
        if self.state.end(zone, now):
            self._log("zone evacuation ended", zone, source, age)

    def _check(self, zone: str, obj: PlatformObject, value: bytes) -> None:
        if zone in self.unreadable:
            return
        try:
            self.check(value)
        except GypsumsailError as err:
            _remember(self.unreadable, zone)
            self.log.write(
                "evacuation unreadable",
                key=obj.key,
                revision=obj.version,
                reason=str(err),
            )

    def _log(self, event: str, zone: str, source: str, age: float) -> None:
        self.log.write(
            event,
            zone=zone,
            source=source,
            copy_age_ms=round(age * MILLISECONDS_PER_SECOND) if isfinite(age) else None,
        )


def _remember(zones: dict[str, None], zone: str) -> None:
    """Add a zone, and forget the oldest one if there are too many."""
    zones[zone] = None
    if len(zones) > MAX_LOGGED_ZONES:
        del zones[next(iter(zones))]
