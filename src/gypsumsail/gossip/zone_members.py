"""The VMs of this VM's zone that may send to a cold target, heard or not.

VMs that don't hear each other must not each act as the only sender. Hosts of the
platform's list therefore stay members although they are silent. That list may hold VMs
that no longer exist; a VM leaves out long-silent ones only while it hears the majority,
which at most one part of a divided zone does.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gypsumsail.gossip.const import PEER_RETENTION_SECONDS, RING_CACHE_SECONDS

if TYPE_CHECKING:
    from gypsumsail.gossip.peers import PeerTable


@dataclass(slots=True)
class ZoneMembers:
    """Hosts of the VMs of this VM's zone.

    Attributes
    ----------
    is_list_read
        Whether the platform's list of VMs was read.
    known_since
        Time at which each host became known.
    heard_at
        Time of the latest message of each host.
    zones
        Zone of each host of which a message was heard.
    current
        Members as of the time ``checked_at``.
    """

    peers: PeerTable
    is_list_read: bool = False
    known_since: dict[str, float] = field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    heard_at: dict[str, float] = field(default_factory=dict)
    zones: dict[str, str] = field(default_factory=dict)
    current: frozenset[str] | None = None
    checked_at: float = float("-inf")

    def record_list(self, hosts: Iterable[str], now: float) -> None:
        """Record the hosts of the platform's list of VMs."""
        self.is_list_read = True
        self.listed = frozenset(hosts)
        self.checked_at = float("-inf")

    def hosts(self, now: float) -> frozenset[str] | None:
        """Return the members, which are the same object until they change.

        Returns ``None`` if nothing is known of the zone: neither the list of VMs nor
        another VM of the zone.
        """
        if not 0 <= now - self.checked_at < RING_CACHE_SECONDS:
            self.checked_at = now
            found = self._find(now)
            if found != self.current:
                self.current = found
        return self.current

    def _find(self, now: float) -> frozenset[str] | None:
        self._note_peers(now)
        members = list(self._candidates())
        heard = {host for host in members if self._is_recent(self.heard_at, host, now)}
        if not self.is_list_read and not any(
            self.zones.get(host) == self.peers.zone for host in members
        ):
            return None
        if 2 * (len(heard) + 1) > len(members) + 1:
            members = [
                host
                for host in members
                if host in heard or self._is_recent(self.known_since, host, now)
            ]
        return frozenset([self.peers.host, *members])

    def _note_peers(self, now: float) -> None:
        """Note what the table of VMs says, which forgets silent ones."""
        for host, peer in self.peers.peers.items():
            if peer.last_message_at is not None:
                self.heard_at[host] = peer.last_message_at
                self.zones[host] = peer.zone
        known = self.listed | self.peers.peers.keys()
        for host in known:
            self.known_since.setdefault(host, now)
        for notes in (self.known_since, self.heard_at, self.zones):
            for host in [host for host in notes if host not in known]:
                del notes[host]

    def _candidates(self) -> Iterator[str]:
        """Return the other hosts that are not known to be in another zone."""
        for host in self.known_since:
            if host == self.peers.host:
                continue
            if self.zones.get(host, self.peers.zone) in ("", self.peers.zone):
                yield host

    @staticmethod
    def _is_recent(times: dict[str, float], host: str, now: float) -> bool:
        return now - times.get(host, float("-inf")) < PEER_RETENTION_SECONDS
