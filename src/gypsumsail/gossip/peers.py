"""The other VMs as this one has heard them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from gypsumsail.core.rendezvous import rank
from gypsumsail.gossip.const import (
    ALIVE_VALID_SECONDS,
    FAR_INTERVAL_SECONDS,
    FAR_LONGEST_SECONDS,
    FAR_MESSAGES_PER_SECOND,
    FORGOTTEN_SECONDS,
    HEARD_SECONDS,
    HOSTS_IN_A_MESSAGE,
    INTERVAL_SECONDS,
    NEAR_MESSAGES_PER_SECOND,
    QUIET_INTERVAL_SECONDS,
    VMS_AT_FULL_RATE,
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
    former_starts: set[int] = field(default_factory=set)
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
    looked_at: float = float("-inf")
    found_alive: list[Peer] = field(default_factory=list)
    found_near: frozenset[str] = frozenset()
    found_duties: dict[tuple[str, int], bool] = field(default_factory=dict)

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
        if not self._is_newer(peer, message):
            return None
        if not peer.is_heard(now):
            self.looked_at = float("-inf")
        peer.vm = message.vm
        peer.zone = message.zone
        if peer.heard_at is not None and peer.started_at != message.started_at:
            peer.former_starts.add(peer.started_at)
        peer.started_at, peer.number = message.started_at, message.number
        peer.heard_at = now
        for host in message.hosts:
            self.add(host, now)
        return peer

    @staticmethod
    def _is_newer(peer: Peer, message: GossipMessage) -> bool:
        if peer.heard_at is None:
            return True
        if message.started_at != peer.started_at:
            return message.started_at not in peer.former_starts
        return message.number > peer.number

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs that were heard lately."""
        if not 0 <= now - self.looked_at < ALIVE_VALID_SECONDS:
            self.looked_at = now
            self.found_alive = [
                peer for peer in self.peers.values() if peer.is_heard(now)
            ]
            near = frozenset(
                peer.vm for peer in self.found_alive if peer.zone == self.zone
            )
            if near != self.found_near:
                self.found_near = near
                self.found_duties.clear()
        return self.found_alive

    def count(self, now: float) -> int:
        """Return the number of VMs that are believed alive, this one included."""
        return len(self.alive(now)) + 1

    def names(self, now: float) -> list[str]:
        """Return the names of the VMs that are believed alive."""
        return [self.vm, *(peer.vm for peer in self.alive(now))]

    def names_in_zone(self, now: float) -> list[str]:
        """Return the names of those in this VM's zone."""
        self.alive(now)
        return [self.vm, *self.found_near]

    def has_duty(self, duty: str, holders: int, now: float) -> bool:
        """Return whether this VM is one of the holders of a duty in its zone."""
        self.alive(now)
        key = (duty, holders)
        if key not in self.found_duties:
            names = self.names_in_zone(now)
            first = list(rank(duty, names))[:holders]
            self.found_duties[key] = len(names) <= holders or self.vm in first
        return self.found_duties[key]

    def is_large(self, now: float) -> bool:
        """Return whether not all VMs hear each other at the full rate."""
        return self.count(now) > VMS_AT_FULL_RATE

    def split(self, now: float) -> tuple[list[Peer], list[Peer]]:
        """Return the VMs that share all news with this one, and the others."""
        if not self.is_large(now):
            return list(self.peers.values()), []
        near = [peer for peer in self.peers.values() if peer.zone == self.zone]
        far = [peer for peer in self.peers.values() if peer.zone != self.zone]
        return near, far

    def near_interval(self, now: float) -> float:
        """Return the pause between messages to the near VMs."""
        if not self.is_large(now):
            return INTERVAL_SECONDS
        return max(INTERVAL_SECONDS, len(self.found_near) / NEAR_MESSAGES_PER_SECOND)

    def far_interval(self, now: float) -> float:
        """Return the pause between messages to the other VMs of a large fleet."""
        far = len(self.alive(now)) - len(self.found_near)
        wanted = max(FAR_INTERVAL_SECONDS, far / FAR_MESSAGES_PER_SECOND)
        return min(wanted, FAR_LONGEST_SECONDS)

    @staticmethod
    def due(peers: Iterable[Peer], interval: float, now: float) -> list[Peer]:
        """Return those of the VMs that get a message now."""
        shortest = min(interval, QUIET_INTERVAL_SECONDS)
        return [
            peer
            for peer in peers
            if peer.sent_at is None
            or (
                now - peer.sent_at >= shortest
                and now - peer.sent_at
                >= (interval if peer.is_heard(now) else QUIET_INTERVAL_SECONDS)
            )
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
