"""Who watches the platform, who probes whom, who compares tables with whom.

Each entry works this out from its own view, without agreement: two views that
differ cost a few calls more or a detour, never a wrong result.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil
import random

from gypsumsail.core.rendezvous import rank
from gypsumsail.membership.const import (
    ENTRIES_PER_RELAY,
    PROBE_PARTNERS,
    RELAYS_PER_ZONE,
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
    place = ring.index(me)
    following = ring[place + 1 :] + ring[:place]
    return tuple(following[:PROBE_PARTNERS])


def sync_partners(
    me: EntryId, entries: Sequence[EntryId], *, round_number: int, rng: random.Random
) -> tuple[EntryId, ...]:
    """Return the entries to compare tables with, best first.

    A relay turns to relays of its own zone and of others in turn, mixing them.
    Another entry keeps to one relay of its zone, which needs fewer links. Whoever
    remains comes last.
    """
    zones = sorted({entry.zone for entry in entries})
    relays = {zone: zone_relays(entries, zone) for zone in zones}
    own = [entry for entry in relays.get(me.zone, ()) if entry != me]
    far = [entry for zone in zones if zone != me.zone for entry in relays[zone]]
    rest = [entry for entry in entries if entry != me and entry.zone == me.zone]
    rng.shuffle(far)
    rng.shuffle(rest)
    if me not in relays.get(me.zone, ()):
        return tuple(dict.fromkeys([*_ranked(me.name, own), *far, *rest]))
    rng.shuffle(own)
    first, second = (far, own) if round_number % 2 == 1 else (own, far)
    return tuple(dict.fromkeys([*first, *second, *rest]))


def _ranked(key: str, entries: Iterable[EntryId]) -> list[EntryId]:
    by_life = {f"{entry.name}\0{entry.incarnation}": entry for entry in entries}
    return [by_life[life] for life in rank(key, by_life)]
