"""Decides which entry reads which engine, and how often."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumsail.core.rendezvous import owner
from gypsumsail.fleet.const import (
    MISSING_REPORT_SECONDS,
    REPORTS_PER_SECOND,
    SHORTEST_ROUND_SECONDS,
)
from gypsumsail.peers.port import EntryId
from gypsumsail.platform.port import VmRecord


def round_seconds(engines: int) -> float:
    """Return the seconds between two reports of one engine.

    All reports of ``engines`` that an entry is sent stay within
    `REPORTS_PER_SECOND`.
    """
    return max(SHORTEST_ROUND_SECONDS, engines / REPORTS_PER_SECOND)


def watcher(vm: VmRecord, me: EntryId, peers: Iterable[EntryId]) -> str:
    """Return the name of the entry that reads an engine for the others.

    It is one of the engine's zone, or any entry when that zone has none.
    """
    entries = [me, *peers]
    local = [entry.name for entry in entries if entry.zone == vm.zone]
    return owner(vm.vm_id, local or [entry.name for entry in entries])


def is_overdue(seen_at: float | None, started_at: float, now: float) -> bool:
    """Return whether this entry must read an engine that another one watches."""
    last = started_at if seen_at is None else seen_at
    return now - last > MISSING_REPORT_SECONDS
