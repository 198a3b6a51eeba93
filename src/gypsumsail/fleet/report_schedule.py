"""Decides which entry reads which engine, and how often it sends reports."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumsail.core.rendezvous import owner
from gypsumsail.fleet.const import (
    CROSS_ZONE_REPORTS_PER_SECOND,
    MIN_ROUND_SECONDS,
    REPORT_OVERDUE_MARGIN_SECONDS,
    SAME_ZONE_REPORTS_PER_SECOND,
)
from gypsumsail.object_api.port import VmRecord
from gypsumsail.peers.port import EntryId


def same_zone_round_seconds(engines: int) -> float:
    """Return the seconds between two reports on an engine within its zone.

    An entry receives at most `SAME_ZONE_REPORTS_PER_SECOND` reports on the
    engines of its own zone.
    """
    return max(MIN_ROUND_SECONDS, engines / SAME_ZONE_REPORTS_PER_SECOND)


def cross_zone_round_seconds(engines: int) -> float:
    """Return the seconds between two reports on an engine to other zones.

    An entry receives at most `CROSS_ZONE_REPORTS_PER_SECOND` reports on the
    engines of other zones.
    """
    return max(MIN_ROUND_SECONDS, engines / CROSS_ZONE_REPORTS_PER_SECOND)


def assigned_reader(vm: VmRecord, me: EntryId, peers: Iterable[EntryId]) -> str:
    """Return the name of the entry that reads an engine on behalf of the others.

    The entry is in the zone of the engine, or in any zone when that zone has none.
    """
    entries = [me, *peers]
    local = [entry.name for entry in entries if entry.zone == vm.zone]
    return owner(vm.vm_id, local or [entry.name for entry in entries])


def is_overdue(
    received_at: float | None, started_at: float, now: float, *, round_seconds: float
) -> bool:
    """Return whether this entry must read an engine assigned to another entry."""
    last = started_at if received_at is None else received_at
    return now - last > REPORT_OVERDUE_MARGIN_SECONDS + 2 * round_seconds
