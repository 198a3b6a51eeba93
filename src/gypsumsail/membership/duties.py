"""Assigns the duties of entries: watching the platform, probing and syncing.

Each entry derives the assignment from its own view, without consensus. Views that
differ cause some additional calls or an indirect route, but never a wrong result.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil
import random

from gypsumsail.core.rendezvous import rank
from gypsumsail.membership.const import (
    ENTRIES_PER_RELAY,
    LIST_INTERVAL_SECONDS,
    LIST_READER_ROTATION_SECONDS,
    LIST_READERS,
    PROBE_PARTNERS,
    RELAYS_PER_ZONE,
    SYNC_ATTEMPTS,
)
from gypsumsail.peers.port import EntryId


def zone_relays(entries: Iterable[EntryId], zone: str) -> tuple[EntryId, ...]:
    """Return the relays of a zone, which watch the platform on behalf of the others."""
    ranked = _ranked(zone, (entry for entry in entries if entry.zone == zone))
    count = max(RELAYS_PER_ZONE, ceil(len(ranked) / ENTRIES_PER_RELAY))
    return tuple(ranked[:count])


def probe_partners(me: EntryId, entries: Iterable[EntryId]) -> tuple[EntryId, ...]:
    """Return the entries that follow this one on the ring of all entries."""
    ring = _ranked("ring", {me, *entries})
    index = ring.index(me)
    following = ring[index + 1 :] + ring[:index]
    return tuple(following[:PROBE_PARTNERS])


def is_list_reader(
    me: EntryId, zone_entries: Iterable[EntryId], *, reading_number: int, age: float
) -> bool:
    """Return whether this entry reads the VM list now.

    The entries of a zone take turns, because each reading returns the records of
    all VMs. More entries read as the last reading gets older, and after
    `LIST_READER_ROTATION_SECONDS` other entries are chosen.

    Parameters
    ----------
    reading_number
        Number of the last reading, which determines the order of the readers.
    age
        Age of the last reading in seconds.
    """
    waited = int(age / LIST_INTERVAL_SECONDS)
    order = _ranked(f"{me.zone} {reading_number}", zone_entries)
    readers = min(waited, LIST_READERS, len(order))
    start = int(age / LIST_READER_ROTATION_SECONDS) * LIST_READERS
    return any(order[(start + index) % len(order)] == me for index in range(readers))


@dataclass(frozen=True, slots=True, kw_only=True)
class Duties:
    """Duties of one entry, derived from the members.

    Attributes
    ----------
    is_relay
        Whether this entry watches the platform on behalf of its zone.
    probe_partners
        Entries that this one probes in rotation.
    local_relays
        Other relays of the zone; the preferred relay of this entry comes first.
    remote_relays
        Relays of the other zones.
    zone_peers
        All other entries of the zone.
    """

    is_relay: bool
    probe_partners: tuple[EntryId, ...]
    local_relays: tuple[EntryId, ...]
    remote_relays: tuple[EntryId, ...]
    zone_peers: tuple[EntryId, ...]


def assign_duties(
    me: EntryId, *, alive: Sequence[EntryId], present: Sequence[EntryId]
) -> Duties:
    """Return the duties of an entry.

    Parameters
    ----------
    alive
        Entries that are not suspected, including this one.
    present
        Entries that are not believed dead.
    """
    by_zone: defaultdict[str, list[EntryId]] = defaultdict(list)
    for entry in alive:
        by_zone[entry.zone].append(entry)
    relays = {zone: zone_relays(by_zone[zone], zone) for zone in sorted(by_zone)}
    others = [entry for entry in relays[me.zone] if entry != me]
    return Duties(
        is_relay=me in relays[me.zone],
        probe_partners=probe_partners(me, present),
        local_relays=tuple(_ranked(me.name, others)),
        remote_relays=tuple(
            entry
            for zone, group in relays.items()
            if zone != me.zone
            for entry in group
        ),
        zone_peers=tuple(entry for entry in by_zone[me.zone] if entry != me),
    )


def sync_partners(
    duties: Duties, *, round_number: int, rng: random.Random
) -> tuple[EntryId, ...]:
    """Return the entries to compare tables with, in order of preference.

    A relay alternates between relays of its own zone and relays of other zones, each
    in random order. Any other entry prefers one relay of its zone, which needs fewer
    links. Some entries of the zone come last, in case no relay answers.
    """
    local = list(duties.local_relays)
    remote = _sample(duties.remote_relays, rng)
    fallback = _sample(duties.zone_peers, rng)
    if not duties.is_relay:
        return tuple(dict.fromkeys([*local, *remote, *fallback]))
    rng.shuffle(local)
    first, second = (remote, local) if round_number % 2 == 1 else (local, remote)
    return tuple(dict.fromkeys([*first, *second, *fallback]))


def _sample(entries: Sequence[EntryId], rng: random.Random) -> list[EntryId]:
    return rng.sample(entries, min(len(entries), SYNC_ATTEMPTS))


def _ranked(key: str, entries: Iterable[EntryId]) -> list[EntryId]:
    by_key = {f"{entry.name}\0{entry.incarnation}": entry for entry in entries}
    return [by_key[entry_key] for entry_key in rank(key, by_key)]
