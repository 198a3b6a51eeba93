"""Decides which entry reads which engine, and how often."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumsail.core.rendezvous import owner
from gypsumsail.fleet.const import (
    CROSS_ZONE_REPORTS_PER_SECOND,
    MIN_ROUND_SECONDS,
    REPORT_TIMEOUT_SECONDS,
    SAME_ZONE_REPORTS_PER_SECOND,
)
from gypsumsail.object_api.port import VmRecord
from gypsumsail.peers.port import EntryId


def same_zone_round_seconds(engines: int) -> float:
    """Return the seconds between two reports of an engine within its zone.

    All reports of the ``engines`` of a zone that an entry is sent stay within
    `SAME_ZONE_REPORTS_PER_SECOND`.
    """
    return max(MIN_ROUND_SECONDS, engines / SAME_ZONE_REPORTS_PER_SECOND)


def cross_zone_round_seconds(engines: int) -> float:
    """Return the seconds between two reports of an engine to other zones.

    All reports of the ``engines`` of other zones that an entry is sent stay
    within `CROSS_ZONE_REPORTS_PER_SECOND`.
    """
    return max(MIN_ROUND_SECONDS, engines / CROSS_ZONE_REPORTS_PER_SECOND)


def assigned_reader(vm: VmRecord, me: EntryId, peers: Iterable[EntryId]) -> str:
    """Return the name of the entry that reads an engine for the others.

    It is one of the engine's zone, or any entry when that zone has none.
    """
    entries = [me, *peers]
    local = [entry.name for entry in entries if entry.zone == vm.zone]
    return owner(vm.vm_id, local or [entry.name for entry in entries])


def is_overdue(
    received_at: float | None, started_at: float, now: float, *, round_seconds: float
) -> bool:
    """Return whether this entry must read an engine that another one watches."""
    last = started_at if received_at is None else received_at
    return now - last > REPORT_TIMEOUT_SECONDS + 2 * round_seconds
