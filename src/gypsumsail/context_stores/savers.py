"""Names the other VMs that may have sent saves to a store."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from gypsumsail.context_stores.agreement import Saver
from gypsumsail.context_stores.const import (
    POLLING_VMS_PER_ZONE,
    SAVER_RETENTION_SECONDS,
)
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.gateway.models import ContextStore
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.gossip.store_messages import StoreReports, VmStart

UNKNOWN_START = 0
"""Stands for the start of a life that this VM has never heard of."""


@dataclass(slots=True)
class Savers:
    """Lives of other VMs, and the stores that they poll or follow by this VM.

    Where all VMs poll a store, each of them may save to it. Where a few relay it to the
    others, those may that poll it, and some that follow it by them, for which the
    polling ones report.

    Attributes
    ----------
    is_relayed
        Returns whether some VMs follow a store by others.
    starts
        Start of the present life of each VM, by host.
    ended
        Lives that have ended, with the time at which that was noticed and the time from
        which none of their saves can be on its way.
    pollers, followers
        Time of the latest report of each VM that polls a store, or that follows it by
        this VM, by the store.
    """

    peers: PeerTable
    is_relayed: Callable[[ContextStore, float], bool]
    starts: dict[str, int] = field(default_factory=dict)
    ended: dict[VmStart, tuple[float, float]] = field(default_factory=dict)
    pollers: dict[str, dict[VmStart, float]] = field(default_factory=dict)
    followers: dict[str, dict[VmStart, float]] = field(default_factory=dict)

    def record(self, message: StoreReports, longest_save: float, now: float) -> None:
        """Record the life of a VM that has sent reports."""
        host, start = message.vm_start
        if host not in self.starts and message.former_saves_ms:
            until = now + min(
                message.former_saves_ms / MILLISECONDS_PER_SECOND, longest_save
            )
            self.ended[(host, UNKNOWN_START)] = (now, until)
        self._note_start(host, start, longest_save, now)

    def _note_start(
        self, host: str, start: int, longest_save: float, now: float
    ) -> None:
        before = self.starts.get(host)
        if before == start:
            return
        self.starts[host] = start
        if before is not None:
            self.ended[(host, before)] = (now, now + longest_save)

    def record_poller(self, store: str, vm_start: VmStart, now: float) -> None:
        """Record that another VM polls a store."""
        self.pollers.setdefault(store, {})[vm_start] = now
        self.followers.get(store, {}).pop(vm_start, None)

    def record_follower(self, store: str, vm_start: VmStart, now: float) -> None:
        """Record that another VM follows a store by this one, and may save to it."""
        self.followers.setdefault(store, {})[vm_start] = now
        self.pollers.get(store, {}).pop(vm_start, None)

    def remove(self, store: str, vm_start: VmStart) -> None:
        """Record that another VM reports for the saves of a VM, or that it has none."""
        self.pollers.get(store, {}).pop(vm_start, None)
        self.followers.get(store, {}).pop(vm_start, None)

    def followers_of(
        self, store: str, longest_save: float, now: float
    ) -> list[VmStart]:
        """Return the VMs that follow a store by this one.

        A silent one stays among them until its saves have ended.
        """
        found = self.followers.get(store, {})
        for vm_start in [x for x, at in found.items() if now - at > longest_save]:
            del found[vm_start]
        return list(found)

    def of_store(
        self,
        store: ContextStore,
        reporters: Collection[VmStart],
        longest_save: float,
        now: float,
    ) -> list[Saver]:
        """Return the VMs that may have sent saves to a store.

        Parameters
        ----------
        reporters
            Lives of VMs that have reported on the store.
        """
        if self.is_relayed(store, now):
            present = self._present_where_relayed(store, longest_save, now)
        else:
            present = {self._vm_start(peer) for peer in self.peers.peers.values()}
        for host, start in present:
            if start != UNKNOWN_START:
                self._note_start(host, start, longest_save, now)
        hosts = {host for host, _ in present}
        return [
            *(Saver(vm_start=vm_start) for vm_start in present),
            *self._ended(hosts, reporters, now),
        ]

    def _present_where_relayed(
        self, store: ContextStore, longest_save: float, now: float
    ) -> set[VmStart]:
        name = str(store.address)
        heard = self.pollers.setdefault(name, {})
        for vm_start in [
            found
            for found, at in heard.items()
            if now - at > SAVER_RETENTION_SECONDS or found in self.ended
        ]:
            del heard[vm_start]
        return {
            *map(self._vm_start, self.expected_pollers(store, now)),
            *heard,
            *self.followers_of(name, longest_save, now),
        }

    def expected_pollers(self, store: ContextStore, now: float) -> list[Peer]:
        """Return the other VMs that probably poll a store."""
        return self.peers.assigned(store.name, POLLING_VMS_PER_ZONE, now)

    def poller_hosts(self, store: ContextStore, now: float) -> set[str]:
        """Return the hosts of the other VMs to which this one reports on a store."""
        if not self.is_relayed(store, now):
            return {
                peer.host
                for peer in self.peers.peers.values()
                if peer.reads_store_reports
            }
        heard = self.pollers.get(str(store.address), {})
        return {
            *(
                peer.host
                for peer in self.expected_pollers(store, now)
                if peer.reads_store_reports
            ),
            *(host for host, _ in heard),
        }

    @staticmethod
    def _vm_start(peer: Peer) -> VmStart:
        return peer.host, peer.started_at_ms or UNKNOWN_START

    def _ended(
        self, hosts: Collection[str], reporters: Collection[VmStart], now: float
    ) -> Iterator[Saver]:
        for vm_start in [x for x, (_, until) in self.ended.items() if now >= until]:
            del self.ended[vm_start]
        for vm_start, (ended_at, _) in self.ended.items():
            if vm_start[0] in hosts or vm_start in reporters:
                yield Saver(vm_start=vm_start, ended_at=ended_at)
