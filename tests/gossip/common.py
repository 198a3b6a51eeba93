"""Builders of VMs that gossip within one process."""

from __future__ import annotations

from collections.abc import Mapping

from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.targets import TargetTable
from gypsumsail.gossip.coordinator import GossipCoordinator
from gypsumsail.gossip.endpoint import GossipEndpoint
from gypsumsail.gossip.messages import ContextStoreUpdate, GossipMessage, decode, encode
from gypsumsail.gossip.peers import Peer, PeerTable
from tests.common import ManualClock


def message(
    vm: str = "v2", sequence_number: int = 1, **changes: object
) -> GossipMessage:
    """Return a gossip message of another VM."""
    values: dict[str, object] = {
        "vm": vm,
        "host": f"10.0.0.{vm[1:]}",
        "zone": "z1",
        "started_at_ms": 1,
        "sequence_number": sequence_number,
    }
    return GossipMessage(**(values | changes))  # type: ignore[arg-type]


class Net:
    """Network that delivers datagrams between members."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.members: dict[str, Member] = {}
        self.sent = 0

    def tick(self, seconds: float) -> None:
        """Advance the time and let all members send due messages."""
        for _ in range(round(seconds / 0.05)):
            self.clock.now += 0.05
            for member in self.members.values():
                member.gossip.tick(self.clock.now)


class _NetEndpoint(GossipEndpoint):
    def __init__(self, net: Net) -> None:
        super().__init__(lambda message: None)
        self.net = net

    def send(self, message: GossipMessage, addresses: list[tuple[str, int]]) -> None:
        for host, _ in addresses:
            self.net.sent += 1
            if host in self.net.members:
                self.net.members[host].gossip.handle_message(decode(encode(message)))


class Member:
    """One VM on the network."""

    def __init__(self, net: Net, vm: str, zone: str = "z1") -> None:
        self.revisions: dict[str, int] = {"config": 1}
        self.targets = TargetTable()
        self.crash_suspects = CrashSuspectTracker()
        self.context_store_updates: list[tuple[Peer, ContextStoreUpdate]] = []
        self.reads_store = True
        host = f"10.0.0.{vm[1:]}"
        self.peers = PeerTable(vm, host, zone)
        for other in net.members:
            self.peers.add(other, net.clock.now)
        self.gossip = GossipCoordinator(
            7580,
            self.peers,
            self.targets,
            self.crash_suspects,
            net.clock,
            self._last_changed_revisions,
            lambda kind: self.reads_store,
            lambda peer, update: self.context_store_updates.append((peer, update)),
        )
        self.gossip.endpoint = _NetEndpoint(net)
        net.members[host] = self

    def _last_changed_revisions(self) -> Mapping[str, int]:
        return dict(self.revisions)
