"""Repeats what makes targets crash for VMs that were cut off or have just started."""

from __future__ import annotations

import random

from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.part_suspects import PartSuspects
from gypsumsail.gossip.const import (
    MAX_REPEATED_CRASHES,
    PART_REPEAT_MIN_SECONDS,
    PART_REPEAT_SECONDS_PER_VM,
)
from gypsumsail.gossip.messages import CrashReport, CrashUpdate
from gypsumsail.gossip.peers import PeerTable


class CrashRepeats:
    """Selects the crashes to repeat.

    Each VM hears of them at about the same rate, whatever the number of VMs.
    """

    def __init__(
        self,
        part_suspects: PartSuspects,
        crash_suspects: CrashSuspectTracker,
        peers: PeerTable,
        now: float,
    ) -> None:
        self.part_suspects = part_suspects
        self.crash_suspects = crash_suspects
        self.peers = peers
        self.random = random.Random()
        self.repeated_at = now

    def due(self, now: float) -> list[CrashUpdate]:
        """Return the updates to send at this time; mostly none."""
        interval = max(
            PART_REPEAT_MIN_SECONDS, PART_REPEAT_SECONDS_PER_VM * self.peers.count(now)
        )
        if now - self.repeated_at < interval:
            return []
        self.repeated_at = now
        updates: list[CrashUpdate] = [
            *self.part_suspects.updates_to_repeat(),
            *blocked_requests(self.crash_suspects),
        ]
        return self.random.sample(updates, min(len(updates), MAX_REPEATED_CRASHES))


def blocked_requests(suspects: CrashSuspectTracker) -> list[CrashReport]:
    """Return the reports by which another VM blocks the same requests."""
    return [
        CrashReport(fingerprint=fingerprint, target=target, life=life)
        for fingerprint, target, life in suspects.blocked_to_tell()
    ]
