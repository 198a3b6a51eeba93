"""The other VMs as this one has heard them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from gypsumsail.core.rendezvous import rank
from gypsumsail.gossip.const import (
    ALIVE_CACHE_SECONDS,
    ALIVE_TIMEOUT_SECONDS,
    CROSS_ZONE_MAX_INTERVAL_SECONDS,
    CROSS_ZONE_MESSAGES_PER_SECOND,
    CROSS_ZONE_MIN_INTERVAL_SECONDS,
    MAX_FULL_RATE_VMS,
    MAX_HOSTS_PER_MESSAGE,
    PEER_RETENTION_SECONDS,
    SAME_ZONE_MESSAGES_PER_SECOND,
    SEND_INTERVAL_SECONDS,
    SILENT_PEER_INTERVAL_SECONDS,
)
from gypsumsail.gossip.messages import GossipMessage


@dataclass(slots=True)
class Peer:
    """Another VM.

    Attributes
    ----------
    started_at, former_starts
        Its start by its own clock, which may have gone back since an earlier one.
    heard_at
        Time of its last message; ``None`` when none came.
    ahead_since
        Time since which it knows a newer change; ``None`` when it doesn't.
    """

    host: str
    known_since: float
    vm: str = ""
    zone: str = ""
    started_at: int = 0
    previous_starts: set[int] = field(default_factory=set)
    sequence_number: int = 0
    last_message_at: float | None = None
    sent_at: float | None = None
    ahead_since: float | None = None

    def is_alive(self, now: float) -> bool:
        """Return whether it has sent a message lately."""
        return (
            self.last_message_at is not None
            and now - self.last_message_at < ALIVE_TIMEOUT_SECONDS
        )


@dataclass(slots=True)
class PeerTable:
    """Other VMs by host.

    Attributes
    ----------
    vm, host, zone
        This VM itself, which is never a peer.
    looked_at
        Time at which it was found which VMs are alive; this is kept for a moment, as
        each message asks for it.
    found_near, found_duties
        Names of this zone's VMs that are alive, and the duties of this VM among them.
    """

    vm: str
    host: str
    zone: str
    peers: dict[str, Peer] = field(default_factory=dict)
    alive_checked_at: float = float("-inf")
    alive_peers: list[Peer] = field(default_factory=list)
    same_zone_names: frozenset[str] = frozenset()
    assignments: dict[tuple[str, int], bool] = field(default_factory=dict)

    def add(self, host: str, now: float) -> None:
        """Note a host that may be a VM of the gateway."""
        if host and host != self.host and host not in self.peers:
            self.peers[host] = Peer(host=host, known_since=now)

    def record_message(self, message: GossipMessage, now: float) -> Peer | None:
        """Take a message; ``None`` when it is older than one before."""
        if message.host == self.host:
            return None
        self.add(message.host, now)
        peer = self.peers[message.host]
        if not self._is_newer(peer, message):
            return None
        if not peer.is_alive(now):
            self.alive_checked_at = float("-inf")
        peer.vm = message.vm
        peer.zone = message.zone
        if peer.last_message_at is not None and peer.started_at != message.started_at:
            peer.previous_starts.add(peer.started_at)
        peer.started_at, peer.sequence_number = (
            message.started_at,
            message.sequence_number,
        )
        peer.last_message_at = now
        for host in message.hosts:
            self.add(host, now)
        return peer

    @staticmethod
    def _is_newer(peer: Peer, message: GossipMessage) -> bool:
        if peer.last_message_at is None:
            return True
        if message.started_at != peer.started_at:
            return message.started_at not in peer.previous_starts
        return message.sequence_number > peer.sequence_number

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs that were heard lately."""
        if not 0 <= now - self.alive_checked_at < ALIVE_CACHE_SECONDS:
            self.alive_checked_at = now
            self.alive_peers = [
                peer for peer in self.peers.values() if peer.is_alive(now)
            ]
            names = frozenset(
                peer.vm for peer in self.alive_peers if peer.zone == self.zone
            )
            if names != self.same_zone_names:
                self.same_zone_names = names
                self.assignments.clear()
        return self.alive_peers

    def count(self, now: float) -> int:
        """Return the number of VMs that are believed alive, this one included."""
        return len(self.alive(now)) + 1

    def names(self, now: float) -> list[str]:
        """Return the names of the VMs that are believed alive."""
        return [self.vm, *(peer.vm for peer in self.alive(now))]

    def names_in_zone(self, now: float) -> list[str]:
        """Return the names of those in this VM's zone."""
        self.alive(now)
        return [self.vm, *self.same_zone_names]

    def is_assigned(self, task: str, holders: int, now: float) -> bool:
        """Return whether this VM is one of the holders of a duty in its zone."""
        self.alive(now)
        key = (task, holders)
        if key not in self.assignments:
            names = self.names_in_zone(now)
            first = list(rank(task, names))[:holders]
            self.assignments[key] = len(names) <= holders or self.vm in first
        return self.assignments[key]

    def is_large(self, now: float) -> bool:
        """Return whether not all VMs hear each other at the full rate."""
        return self.count(now) > MAX_FULL_RATE_VMS

    def split(self, now: float) -> tuple[list[Peer], list[Peer]]:
        """Return the VMs that share all news with this one, and the others."""
        if not self.is_large(now):
            return list(self.peers.values()), []
        full = [peer for peer in self.peers.values() if peer.zone == self.zone]
        reduced = [peer for peer in self.peers.values() if peer.zone != self.zone]
        return full, reduced

    def same_zone_interval(self, now: float) -> float:
        """Return the pause between messages to the near VMs."""
        if not self.is_large(now):
            return SEND_INTERVAL_SECONDS
        return max(
            SEND_INTERVAL_SECONDS,
            len(self.same_zone_names) / SAME_ZONE_MESSAGES_PER_SECOND,
        )

    def cross_zone_interval(self, now: float) -> float:
        """Return the pause between messages to the other VMs of a large fleet."""
        peers = len(self.alive(now)) - len(self.same_zone_names)
        interval = max(
            CROSS_ZONE_MIN_INTERVAL_SECONDS, peers / CROSS_ZONE_MESSAGES_PER_SECOND
        )
        return min(interval, CROSS_ZONE_MAX_INTERVAL_SECONDS)

    @staticmethod
    def due(peers: Iterable[Peer], interval: float, now: float) -> list[Peer]:
        """Return those of the VMs that get a message now."""
        shortest = min(interval, SILENT_PEER_INTERVAL_SECONDS)
        return [
            peer
            for peer in peers
            if peer.sent_at is None
            or (
                now - peer.sent_at >= shortest
                and now - peer.sent_at
                >= (interval if peer.is_alive(now) else SILENT_PEER_INTERVAL_SECONDS)
            )
        ]

    def sample_hosts(self, random: Random, now: float) -> tuple[str, ...]:
        """Return hosts of living VMs for a message."""
        hosts = [peer.host for peer in self.alive(now)]
        return tuple(random.sample(hosts, min(len(hosts), MAX_HOSTS_PER_MESSAGE)))

    def evict_silent(self, now: float) -> None:
        """Forget VMs that have been silent for long."""
        for host, peer in list(self.peers.items()):
            last = (
                peer.last_message_at
                if peer.last_message_at is not None
                else peer.known_since
            )
            if now - last > PEER_RETENTION_SECONDS:
                del self.peers[host]
