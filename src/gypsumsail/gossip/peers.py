"""The other VMs as this one has heard them."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from gypsumsail.gossip.const import (
    FORGOTTEN_SECONDS,
    HEARD_SECONDS,
    HOSTS_IN_A_MESSAGE,
    INTERVAL_SECONDS,
    QUIET_INTERVAL_SECONDS,
    VMS_AT_FULL_RATE,
)
from gypsumsail.gossip.messages import GossipMessage


@dataclass(slots=True)
class Peer:
    """Another VM.

    Attributes
    ----------
    heard_at
        Time of its last message; ``None`` when none came.
    ahead_since
        Time since which it knows a newer change; ``None`` when it doesn't.
    """

    host: str
    known_since: float
    vm: str = ""
    started_at: int = 0
    number: int = 0
    heard_at: float | None = None
    sent_at: float | None = None
    ahead_since: float | None = None

    def is_heard(self, now: float) -> bool:
        """Return whether it has sent a message lately."""
        return self.heard_at is not None and now - self.heard_at < HEARD_SECONDS


@dataclass(slots=True)
class PeerTable:
    """Other VMs by host.

    Attributes
    ----------
    host
        This VM's own host, which is never a peer.
    """

    host: str
    peers: dict[str, Peer] = field(default_factory=dict)

    def add(self, host: str, now: float) -> None:
        """Note a host that may be a VM of the gateway."""
        if host and host != self.host and host not in self.peers:
            self.peers[host] = Peer(host=host, known_since=now)

    def heard(self, message: GossipMessage, now: float) -> Peer | None:
        """Take a message; ``None`` when it is older than one before."""
        if message.host == self.host:
            return None
        self.add(message.host, now)
        peer = self.peers[message.host]
        order = (message.started_at, message.number)
        if peer.heard_at is not None and order <= (peer.started_at, peer.number):
            return None
        peer.vm = message.vm
        peer.started_at, peer.number = order
        peer.heard_at = now
        for host in message.hosts:
            self.add(host, now)
        return peer

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs that were heard lately."""
        return [peer for peer in self.peers.values() if peer.is_heard(now)]

    def count(self, now: float) -> int:
        """Return the number of VMs that are believed alive, this one included."""
        return len(self.alive(now)) + 1

    def interval(self, now: float) -> float:
        """Return the pause between messages; their sum stays bounded in a fleet."""
        growth = max(self.count(now) / VMS_AT_FULL_RATE, 1.0)
        return INTERVAL_SECONDS * growth

    def due(self, now: float) -> list[Peer]:
        """Return the VMs that get a message now."""
        return [
            peer
            for peer in self.peers.values()
            if peer.is_heard(now)
            or peer.sent_at is None
            or now - peer.sent_at >= QUIET_INTERVAL_SECONDS
        ]

    def some_hosts(self, random: Random, now: float) -> tuple[str, ...]:
        """Return hosts of living VMs for a message."""
        hosts = [peer.host for peer in self.alive(now)]
        return tuple(random.sample(hosts, min(len(hosts), HOSTS_IN_A_MESSAGE)))

    def forget_silent(self, now: float) -> None:
        """Forget VMs that have been silent for long."""
        for host, peer in list(self.peers.items()):
            last = peer.heard_at if peer.heard_at is not None else peer.known_since
            if now - last > FORGOTTEN_SECONDS:
                del self.peers[host]
