"""Tells the VMs of a zone what this one has read from the store.

A VM that relies on others knows by these messages how old its copies may be, and that
it lacks a change.
"""

from __future__ import annotations

from collections.abc import Callable

from gypsumsail.catalog.freshness import CopyConfirmation
from gypsumsail.core.callback import callback
from gypsumsail.gossip.copy_messages import CopiesConfirmed
from gypsumsail.gossip.peers import PeerTable


class CopyExchange:
    """Messages of this VM on its readings of the store.

    Attributes
    ----------
    own_readings
        Returns what this VM itself has last read, if others rely on it.
    send
        Sends a message to hosts.
    told_at
        Time of the latest reading of each kind that was told.
    """

    def __init__(
        self, peers: PeerTable, send: Callable[[CopiesConfirmed, list[str]], None]
    ) -> None:
        self.peers = peers
        self.send = send
        self.own_readings: Callable[[float], list[CopyConfirmation]] = lambda now: []
        self.told_at: dict[str, float] = {}

    @callback
    def tick(self, now: float) -> None:
        """Tell of the readings since the last tick."""
        found = tuple(
            item
            for item in self.own_readings(now)
            if now - item.age > self.told_at.get(item.kind, float("-inf"))
        )
        if not found:
            return
        for item in found:
            self.told_at[item.kind] = now - item.age
        hosts = self.peers.copy_reader_hosts()
        if hosts:
            self.send(CopiesConfirmed(host=self.peers.host, confirmations=found), hosts)
