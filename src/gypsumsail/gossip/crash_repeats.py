"""Repeats the crashes of suspected parts of prompts for VMs that were cut off."""

from __future__ import annotations

import random

from gypsumsail.gateway.part_suspects import PartSuspects, PartUpdate
from gypsumsail.gossip.const import (
    MAX_REPEATED_CRASHES,
    PART_REPEAT_MIN_SECONDS,
    PART_REPEAT_SECONDS_PER_VM,
)
from gypsumsail.gossip.peers import PeerTable


class CrashRepeats:
    """Selects the crashes to repeat.

    Each VM hears of them at about the same rate, whatever the number of VMs.
    """

    def __init__(
        self, part_suspects: PartSuspects, peers: PeerTable, now: float
    ) -> None:
        self.part_suspects = part_suspects
        self.peers = peers
        self.random = random.Random()
        self.repeated_at = now

    def due(self, now: float) -> list[PartUpdate]:
        """Return the updates to send at this time; mostly none."""
        interval = max(
            PART_REPEAT_MIN_SECONDS, PART_REPEAT_SECONDS_PER_VM * self.peers.count(now)
        )
        if now - self.repeated_at < interval:
            return []
        self.repeated_at = now
        updates = self.part_suspects.updates_to_repeat()
        return self.random.sample(updates, min(len(updates), MAX_REPEATED_CRASHES))
