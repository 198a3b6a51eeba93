"""Logs which other VMs fall silent and are heard again."""

from __future__ import annotations

from gypsumsail.core.callback import callback
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.vm.const import MAX_VMS_PER_LINE


class SilenceLog:
    """Writes one line for all VMs whose state changes at the same time.

    Attributes
    ----------
    alive
        Names of the VMs that were alive at the last tick, with this one.
    """

    def __init__(self, peers: PeerTable, log: DecisionLog) -> None:
        self.peers = peers
        self.log = log
        self.alive: frozenset[str] = frozenset((peers.vm,))

    @callback
    def tick(self, now: float) -> None:
        """Log the changes since the last tick."""
        alive = frozenset(self.peers.names(now))
        if alive == self.alive:
            return
        self._write("VMs silent", self.alive - alive, len(alive))
        self._write("VMs heard", alive - self.alive, len(alive))
        self.alive = alive

    def _write(self, event: str, changed: frozenset[str], alive: int) -> None:
        if changed:
            self.log.write(
                event,
                vms=sorted(changed)[:MAX_VMS_PER_LINE],
                count=len(changed),
                alive=alive,
            )
