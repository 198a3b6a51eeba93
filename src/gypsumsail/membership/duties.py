"""Who watches the platform, who probes whom, who compares tables with whom.

Each entry works this out from its own view, without agreement: two views that
differ cost a few calls more or a detour, never a wrong result.
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
    """Return the entries of a zone that watch the platform for the others."""
    ranked = _ranked(zone, (entry for entry in entries if entry.zone == zone))
    count = max(RELAYS_PER_ZONE, ceil(len(ranked) / ENTRIES_PER_RELAY))
    return tuple(ranked[:count])


def probe_partners(me: EntryId, entries: Iterable[EntryId]) -> tuple[EntryId, ...]:
    """Return the entries that follow this one on a ring of all entries."""
    ring = _ranked("ring", {me, *entries})
    index = ring.index(me)
    following = ring[index + 1 :] + ring[:index]
    return tuple(following[:PROBE_PARTNERS])


def is_list_reader(
    me: EntryId, zone_entries: Iterable[EntryId], *, reading_count: int, age: float
) -> bool:
    """Return whether this entry reads the VM list now.

    The entries of a zone take turns, since each reading is as large as the fleet.
    The older the last reading gets, the more of them try, and other ones in the end.
    """
    waited = int(age / LIST_INTERVAL_SECONDS)
    order = _ranked(f"{me.zone} {reading_count}", zone_entries)
    readers = min(waited, LIST_READERS, len(order))
    start = int(age / LIST_READER_ROTATION_SECONDS) * LIST_READERS
    return any(order[(start + index) % len(order)] == me for index in range(readers))


@dataclass(frozen=True, slots=True, kw_only=True)
class Duties:
    """What follows from the members for one entry.

    Attributes
    ----------
    is_relay
        Whether this entry watches the platform for its zone.
    probes
        Entries that this one probes in turn.
    own_relays
        Other relays of the zone; an ordinary entry's own one first.
    far_relays
        Relays of the other zones.
    neighbours
        All other entries of the zone.
    """

    is_relay: bool
    probes: tuple[EntryId, ...]
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
        Entries beyond suspicion, with this one.
    present
        Entries not believed dead.
    """
    by_zone: defaultdict[str, list[EntryId]] = defaultdict(list)
    for entry in alive:
        by_zone[entry.zone].append(entry)
    relays = {zone: zone_relays(by_zone[zone], zone) for zone in sorted(by_zone)}
    own = [entry for entry in relays[me.zone] if entry != me]
    return Duties(
        is_relay=me in relays[me.zone],
        probes=probe_partners(me, present),
        local_relays=tuple(_ranked(me.name, own)),
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
    """Return the entries to compare tables with, best first.

    A relay turns to relays of its own zone and of others in turn, mixing them.
    Another entry keeps to one relay of its zone, which needs fewer links. A few
    others come last, in case no relay answers.
    """
    own = list(duties.local_relays)
    far = _sample(duties.remote_relays, rng)
    rest = _sample(duties.zone_peers, rng)
    if not duties.is_relay:
        return tuple(dict.fromkeys([*own, *far, *rest]))
    rng.shuffle(own)
    first, second = (far, own) if round_number % 2 == 1 else (own, far)
    return tuple(dict.fromkeys([*first, *second, *rest]))


def _sample(entries: Sequence[EntryId], rng: random.Random) -> list[EntryId]:
    return rng.sample(entries, min(len(entries), SYNC_ATTEMPTS))


def _ranked(key: str, entries: Iterable[EntryId]) -> list[EntryId]:
    by_key = {f"{entry.name}\0{entry.incarnation}": entry for entry in entries}
    return [by_key[entry_key] for entry_key in rank(key, by_key)]
