"""Who watches the platform, who probes whom, who compares tables with whom.

Each entry works this out from its own view, without agreement: two views that
differ cost a few calls more or a detour, never a wrong result.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import hashlib
from math import ceil
import random

from gypsumsail.membership.const import (
    ENTRIES_PER_RELAY,
    PROBE_PARTNERS,
    RELAYS_PER_ZONE,
)
from gypsumsail.peers.port import EntryId


def zone_relays(entries: Iterable[EntryId], zone: str) -> tuple[EntryId, ...]:
    """Return the entries of a zone that watch the platform for the others."""
    ranked = sorted((entry for entry in entries if entry.zone == zone), key=_rank)
    count = max(RELAYS_PER_ZONE, ceil(len(ranked) / ENTRIES_PER_RELAY))
    return tuple(ranked[:count])


def probe_partners(me: EntryId, entries: Iterable[EntryId]) -> tuple[EntryId, ...]:
    """Return the entries that follow this one on a ring of all entries."""
    ring = sorted({me, *entries}, key=_rank)
    place = ring.index(me)
    following = ring[place + 1 :] + ring[:place]
    return tuple(following[:PROBE_PARTNERS])


def sync_partners(
    me: EntryId, entries: Sequence[EntryId], *, round_number: int, rng: random.Random
) -> tuple[EntryId, ...]:
    """Return the entries to compare tables with, best first.

    A relay turns to relays of its own zone and of others in turn, another entry to
    the relays of its zone. Whoever remains comes last.
    """
    zones = sorted({entry.zone for entry in entries})
    relays = {zone: zone_relays(entries, zone) for zone in zones}
    own = [entry for entry in relays.get(me.zone, ()) if entry != me]
    far = [entry for zone in zones if zone != me.zone for entry in relays[zone]]
    rng.shuffle(own)
    rng.shuffle(far)
    abroad = me in relays.get(me.zone, ()) and round_number % 2 == 1
    first, second = (far, own) if abroad else (own, far)
    rest = [entry for entry in entries if entry != me and entry.zone == me.zone]
    rng.shuffle(rest)
    return tuple(dict.fromkeys([*first, *second, *rest]))


def _rank(entry: EntryId) -> bytes:
    text = f"{entry.name}\0{entry.incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
