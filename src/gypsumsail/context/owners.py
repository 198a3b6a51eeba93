"""Assignment of directory keys to the entries of a zone."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumsail.core.rendezvous import owner
from gypsumsail.peers.port import EntryId


def owner_in_zone(key: str, zone: str, entries: Iterable[EntryId]) -> EntryId | None:
    """Return the entry that owns a key in a zone; ``None`` if the zone has none."""
    by_name = {entry.name: entry for entry in entries if entry.zone == zone}
    if not by_name:
        return None
    return by_name[owner(key, by_name)]


def owners(key: str, entries: Iterable[EntryId]) -> tuple[EntryId, ...]:
    """Return the owner of a key in each zone."""
    known = tuple(entries)
    zones = sorted({entry.zone for entry in known})
    found = (owner_in_zone(key, zone, known) for zone in zones)
    return tuple(entry for entry in found if entry is not None)
