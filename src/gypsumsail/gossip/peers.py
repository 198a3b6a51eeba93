"""Table of the other VMs from which this VM receives messages."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice
from random import Random
from typing import Final

from gypsumsail.core.hash_ring import HashRing
from gypsumsail.core.rendezvous import rank
from gypsumsail.gossip.const import (
    ALIVE_CACHE_SECONDS,
    ALIVE_TIMEOUT_SECONDS,
    CROSS_ZONE_ALIVE_TIMEOUT_SECONDS,
    CROSS_ZONE_HEARTBEAT_SECONDS,
    CROSS_ZONE_MAX_INTERVAL_SECONDS,
    CROSS_ZONE_MESSAGES_PER_SECOND,
    CROSS_ZONE_MIN_INTERVAL_SECONDS,
    HEARD_LATELY_SECONDS,
    MAX_FULL_RATE_VMS,
    MAX_HOSTS_PER_MESSAGE,
    OTHER_ZONES_REPORT_INTERVAL_SECONDS,
    PEER_RETENTION_SECONDS,
    REPORT_RECIPIENTS_PER_ZONE,
    RING_CACHE_SECONDS,
    SAME_ZONE_MESSAGES_PER_SECOND,
    SEND_INTERVAL_SECONDS,
    SILENT_PEER_INTERVAL_SECONDS,
)
from gypsumsail.gossip.messages import GossipMessage
from gypsumsail.gossip.zone_members import ZoneMembers
from gypsumsail.gossip.zone_reports import ZoneReport

READS_REPORTS_MARKER: Final = ""
"""Entry among the hosts of a message whose sender reads zone reports.

Builds that don't know the reports ignore an empty host. Two entries mean that the
sender also reads notices of targets, three that it reads messages on streams as well,
four that it takes forwarded calls, five that it reads confirmations of copies, six that
it reads reports on context stores.
"""
READS_NOTICES_COUNT: Final = 2
READS_STREAMS_COUNT: Final = 3
READS_FORWARDS_COUNT: Final = 4
READS_COPIES_COUNT: Final = 5
READS_STORES_COUNT: Final = 6


@dataclass(slots=True)
class Peer:
    """Another VM of the gateway.

    Attributes
    ----------
    started_at_ms, previous_starts
        Start of the VM by its own clock in Unix milliseconds, and its earlier starts.
        A later start may have an earlier time, because the clock may be set back.
    last_message_at
        Time of the last message; ``None`` before the first one.
    newer
        Revision of the newest change of each kind of which the VM has changes that this
        one lacked at its last message, and has not fetched since.
    ahead_since
        Time since which there are such kinds; ``None`` when there are none.
    reads_reports
        Whether the VM understands zone reports; builds before them do not.
    reads_notices
        Whether the VM understands notices of targets; builds before them do not.
    reads_streams
        Whether the VM understands messages on the builds that began streams.
    reads_forwards
        Whether the VM takes forwarded calls; builds before them do not.
    reads_copies
        Whether the VM reads confirmations of copies; builds before them do not.
    reads_store_reports
        Whether the VM reads and sends reports on context stores; builds before them do
        not.
    last_report_at
        Time of the last zone report; ``None`` if the VM has sent none.
    last_report
        Start of the sender and sequence number of that report.
    """

    host: str
    known_since: float
    vm: str = ""
    zone: str = ""
    started_at_ms: int = 0
    previous_starts: set[int] = field(default_factory=set)
    sequence_number: int = 0
    last_message_at: float | None = None
    sent_at: float | None = None
    newer: dict[str, int] = field(default_factory=dict)
    ahead_since: float | None = None
    reads_reports: bool = False
    reads_notices: bool = False
    reads_streams: bool = False
    reads_forwards: bool = False
    reads_copies: bool = False
    reads_store_reports: bool = False
    last_report_at: float | None = None
    last_report: tuple[int, int] = (0, 0)

    def is_alive(self, now: float, timeout: float = ALIVE_TIMEOUT_SECONDS) -> bool:
        """Return whether the VM has sent a message recently."""
        return self.last_message_at is not None and now - self.last_message_at < timeout


@dataclass(slots=True)
class PeerTable:
    """The other VMs, by host.

    Attributes
    ----------
    vm, host, zone
        Name, host and zone of this VM, which is never a peer.
    alive_checked_at
        Time at which the live VMs were determined. The result is cached briefly,
        because each message needs it.
    same_zone_names, assignments
        Names of the other live VMs of this zone, and whether each duty is assigned
        to this VM.
    assigned_peers
        Other VMs to which each duty is probably assigned.
    has_many_vms
        Whether there were too many VMs for the full rate when that was determined.
    current_ring, ring_checked_at
        Ring of all VMs, and the time at which its members were determined.
    zone_members
        Hosts of the VMs of this zone, silent ones included.
    """

    vm: str
    host: str
    zone: str
    peers: dict[str, Peer] = field(default_factory=dict)
    alive_checked_at: float = float("-inf")
    alive_peers: list[Peer] = field(default_factory=list)
    same_zone_names: frozenset[str] = frozenset()
    assignments: dict[tuple[str, int], bool] = field(default_factory=dict)
    assigned_peers: dict[tuple[str, int], list[Peer]] = field(default_factory=dict)
    has_many_vms: bool = False
    current_ring: HashRing | None = None
    ring_checked_at: float = float("-inf")
    zone_members: ZoneMembers = field(init=False)

    def __post_init__(self) -> None:
        """Create the view of the zone."""
        self.zone_members = ZoneMembers(self)

    def add(self, host: str, now: float) -> None:
        """Add a host that may run a VM of the gateway."""
        if host and host != self.host and host not in self.peers:
            self.peers[host] = Peer(host=host, known_since=now)

    def record_message(self, message: GossipMessage, now: float) -> Peer | None:
        """Record a message; return its sender, or ``None`` for an outdated message."""
        if message.host == self.host:
            return None
        self.add(message.host, now)
        peer = self.peers[message.host]
        if not self._is_newer(peer, message, now):
            return None
        if not peer.is_alive(now):
            self.alive_checked_at = float("-inf")
        peer.vm = message.vm
        peer.zone = message.zone
        markers = message.hosts.count(READS_REPORTS_MARKER)
        peer.reads_reports = markers > 0
        peer.reads_notices = markers >= READS_NOTICES_COUNT
        peer.reads_streams = markers >= READS_STREAMS_COUNT
        peer.reads_forwards = markers >= READS_FORWARDS_COUNT
        peer.reads_copies = markers >= READS_COPIES_COUNT
        peer.reads_store_reports = markers >= READS_STORES_COUNT
        if (
            peer.last_message_at is not None
            and peer.started_at_ms != message.started_at_ms
        ):
            peer.previous_starts.add(peer.started_at_ms)
            peer.previous_starts.discard(message.started_at_ms)
        peer.started_at_ms, peer.sequence_number = (
            message.started_at_ms,
            message.sequence_number,
        )
        peer.last_message_at = now
        for host in message.hosts:
            self.add(host, now)
        return peer

    def record_report(self, report: ZoneReport, now: float) -> Peer | None:
        """Record a report; return its sender, or ``None`` for an outdated report."""
        peer = self.peers.get(report.host)
        if peer is None or report.host == self.host:
            self.add(report.host, now)
            return None
        number = (report.started_at_ms, report.sequence_number)
        is_repeated = peer.last_report[0] == number[0] and peer.last_report >= number
        if is_repeated or report.started_at_ms in peer.previous_starts:
            return None
        peer.last_report = number
        peer.last_report_at = now
        return peer

    @staticmethod
    def _is_newer(peer: Peer, message: GossipMessage, now: float) -> bool:
        if peer.last_message_at is None:
            return True
        if message.started_at_ms != peer.started_at_ms:
            # The current start may be that of a late message of an ended VM.
            is_former = message.started_at_ms in peer.previous_starts
            return not is_former or not peer.is_alive(now)
        return message.sequence_number > peer.sequence_number

    def alive(self, now: float) -> list[Peer]:
        """Return the VMs that are believed alive."""
        if not 0 <= now - self.alive_checked_at < ALIVE_CACHE_SECONDS:
            self.alive_checked_at = now
            alive = self._find_alive(now)
            if [peer.host for peer in alive] != [x.host for x in self.alive_peers]:
                self.assigned_peers.clear()
            self.alive_peers = alive
            names = frozenset(
                peer.vm for peer in self.alive_peers if peer.zone == self.zone
            )
            if names != self.same_zone_names:
                self.same_zone_names = names
                self.assignments.clear()
        return self.alive_peers

    def _find_alive(self, now: float) -> list[Peer]:
        """Return the live VMs; those of other zones are heard of less often."""
        heard = [
            peer
            for peer in self.peers.values()
            if peer.is_alive(now, CROSS_ZONE_ALIVE_TIMEOUT_SECONDS)
        ]
        self.has_many_vms = len(heard) + 1 > MAX_FULL_RATE_VMS
        return [peer for peer in heard if peer.is_alive(now, self.alive_timeout(peer))]

    def hears_zone(self, now: float) -> bool:
        """Return whether most of the known VMs of this zone were heard a moment ago.

        Without other VMs there is nobody to hear.
        """
        zone = [
            peer
            for peer in self._on_ring(now)
            if peer.zone == self.zone or not peer.zone
        ]
        heard = sum(peer.is_alive(now, HEARD_LATELY_SECONDS) for peer in zone)
        return 2 * heard >= len(zone)

    def alive_timeout(self, peer: Peer) -> float:
        """Return the seconds without a message after which a VM is not alive."""
        if self.has_many_vms and peer.zone != self.zone:
            return CROSS_ZONE_ALIVE_TIMEOUT_SECONDS
        return ALIVE_TIMEOUT_SECONDS

    def count(self, now: float) -> int:
        """Return the number of VMs that are believed alive, including this one."""
        return len(self.alive(now)) + 1

    def names(self, now: float) -> list[str]:
        """Return the names of the VMs that are believed alive, including this one."""
        return [self.vm, *(peer.vm for peer in self.alive(now))]

    def names_in_zone(self, now: float) -> list[str]:
        """Return the names of the live VMs of this zone, including this one."""
        self.alive(now)
        return [self.vm, *self.same_zone_names]

    def ring(self, now: float) -> HashRing:
        """Return a ring of the hosts of all VMs, including this one.

        A silent VM stays on the ring: it may be cut off and still send calls.
        """
        if (
            self.current_ring is None
            or not 0 <= now - self.ring_checked_at < RING_CACHE_SECONDS
        ):
            self.ring_checked_at = now
            hosts = {self.host, *(peer.host for peer in self._on_ring(now))}
            if self.current_ring is None or hosts != self.current_ring.members:
                self.current_ring = HashRing(hosts)
        return self.current_ring

    def _on_ring(self, now: float) -> Iterable[Peer]:
        for peer in self.peers.values():
            if peer.last_message_at is not None:
                if now - peer.last_message_at < PEER_RETENTION_SECONDS:
                    yield peer
            # Some VMs of other zones are heard only at this interval.
            elif now - peer.known_since < CROSS_ZONE_ALIVE_TIMEOUT_SECONDS:
                yield peer

    def is_assigned(self, duty: str, assignee_count: int, now: float) -> bool:
        """Return whether a duty of the zone is assigned to this VM.

        The duty is assigned to ``assignee_count`` VMs of the zone.
        """
        self.alive(now)
        key = (duty, assignee_count)
        if key not in self.assignments:
            names = self.names_in_zone(now)
            first = list(rank(duty, names))[:assignee_count]
            self.assignments[key] = len(names) <= assignee_count or self.vm in first
        return self.assignments[key]

    def assigned(self, duty: str, assignee_count: int, now: float) -> list[Peer]:
        """Return the other VMs, of all zones, to which a duty is probably assigned."""
        alive = self.alive(now)
        key = (duty, assignee_count)
        if key not in self.assigned_peers:
            by_zone: dict[str, dict[str, Peer]] = {}
            for peer in alive:
                by_zone.setdefault(peer.zone, {})[peer.vm] = peer
            found: list[Peer] = []
            for zone, members in by_zone.items():
                own = [self.vm] if zone == self.zone else []
                first = islice(rank(duty, [*own, *members]), assignee_count)
                found += [members[name] for name in first if name in members]
            self.assigned_peers[key] = found
        return self.assigned_peers[key]

    def is_large(self, now: float) -> bool:
        """Return whether there are too many VMs for the full rate between all VMs."""
        self.alive(now)
        return self.has_many_vms

    def other_zones(self) -> set[str]:
        """Return the names of the zones in which VMs are known, except this one."""
        return {peer.zone for peer in self.peers.values()} - {self.zone, ""}

    def reporting_names(self, now: float) -> frozenset[str]:
        """Return the live VMs of this zone whose loads a zone report sums.

        Builds that don't read reports send their loads to all zones themselves.
        """
        return frozenset(peer.vm for peer in self._report_readers(now))

    def reporting_hosts(self, now: float) -> list[str]:
        """Return the hosts of the live VMs of this zone that read reports."""
        return [peer.host for peer in self._report_readers(now)]

    def copy_reader_hosts(self) -> list[str]:
        """Return the hosts of this zone's VMs that read confirmations of copies.

        Silent ones are among them: they may hear this VM.
        """
        return [
            peer.host
            for peer in self.peers.values()
            if peer.zone == self.zone and peer.reads_copies
        ]

    def _report_readers(self, now: float) -> list[Peer]:
        return [
            peer
            for peer in self.alive(now)
            if peer.zone == self.zone and peer.reads_reports
        ]

    def reporter_hosts(self, duty: str, now: float) -> list[str]:
        """Return the hosts of other zones to which a zone report is sent.

        They are the VMs that probably have the duty, and those that have sent reports
        of their zones.
        """
        by_zone: dict[str, dict[str, Peer]] = {}
        for peer in self.alive(now):
            if peer.zone != self.zone and peer.reads_reports:
                by_zone.setdefault(peer.zone, {})[peer.vm] = peer
        found: set[str] = set()
        for members in by_zone.values():
            for name in islice(rank(duty, members), REPORT_RECIPIENTS_PER_ZONE):
                found.add(members[name].host)
            found.update(
                peer.host
                for peer in members.values()
                if peer.last_report_at is not None
                and now - peer.last_report_at < ALIVE_TIMEOUT_SECONDS
            )
        return sorted(found)

    def is_told_by_reports(self, peer: Peer, now: float) -> bool:
        """Return whether a VM and this one hear of each other by zone reports."""
        return self.is_large(now) and peer.zone != self.zone and peer.reads_reports

    def split(self, now: float) -> tuple[list[Peer], list[Peer]]:
        """Return the VMs that get full messages, and those that get reduced ones."""
        if not self.is_large(now):
            return list(self.peers.values()), []
        full = [peer for peer in self.peers.values() if peer.zone == self.zone]
        reduced = [peer for peer in self.peers.values() if peer.zone != self.zone]
        return full, reduced

    def same_zone_interval(self, now: float) -> float:
        """Return the pause between full messages to a VM."""
        if not self.is_large(now):
            return SEND_INTERVAL_SECONDS
        return max(
            SEND_INTERVAL_SECONDS,
            len(self.same_zone_names) / SAME_ZONE_MESSAGES_PER_SECOND,
        )

    def load_report_interval(self, now: float) -> float:
        """Return the seconds between two reports of the load of another VM."""
        interval = self.same_zone_interval(now)
        if not self.is_large(now):
            return interval
        return max(interval, OTHER_ZONES_REPORT_INTERVAL_SECONDS)

    def cross_zone_interval(self, now: float) -> float:
        """Return the pause between reduced messages to a VM of another zone."""
        peers = len(self.alive(now)) - len(self.same_zone_names)
        interval = max(
            CROSS_ZONE_MIN_INTERVAL_SECONDS, peers / CROSS_ZONE_MESSAGES_PER_SECOND
        )
        return min(interval, CROSS_ZONE_MAX_INTERVAL_SECONDS)

    def due(self, peers: Iterable[Peer], interval: float, now: float) -> list[Peer]:
        """Return the VMs to which a message is due."""
        # The comparison with `shortest` only saves calls of `_interval`.
        shortest = min(interval, SILENT_PEER_INTERVAL_SECONDS)
        return [
            peer
            for peer in peers
            if peer.sent_at is None
            or (
                now - peer.sent_at >= shortest
                and now - peer.sent_at >= self._interval(peer, interval, now)
            )
        ]

    def _interval(self, peer: Peer, interval: float, now: float) -> float:
        if self.is_told_by_reports(peer, now):
            return CROSS_ZONE_HEARTBEAT_SECONDS
        return interval if peer.is_alive(now) else SILENT_PEER_INTERVAL_SECONDS

    def sample_hosts(self, random: Random, now: float) -> tuple[str, ...]:
        """Return a random sample of the hosts of live VMs."""
        hosts = [peer.host for peer in self.alive(now)]
        sample = random.sample(hosts, min(len(hosts), MAX_HOSTS_PER_MESSAGE))
        return (*[READS_REPORTS_MARKER] * READS_STORES_COUNT, *sample)

    def evict_silent(self, now: float) -> None:
        """Remove VMs that have been silent for longer than the retention time."""
        for host, peer in list(self.peers.items()):
            last = (
                peer.last_message_at
                if peer.last_message_at is not None
                else peer.known_since
            )
            if now - last > PEER_RETENTION_SECONDS:
                del self.peers[host]
