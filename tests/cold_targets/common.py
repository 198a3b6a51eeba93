"""Model of the VMs of a zone that all want to send to one cold target."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.cold_targets.models import ColdBound, ColdTerms
from gypsumsail.cold_targets.senders import ColdSharing
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.vm.const import LIMIT_RING_DELAY_SECONDS
from tests.gateway.common import ENGINES, document, engine

TERMS = ColdTerms(seconds=20.0, per_second=10.0)
BOUND = ColdBound().requests(TERMS.per_second)
STEP_SECONDS = 0.02
ZONE = "z1"
TARGET = "e1"
START = 1_000.0


class SendingVm:
    """A VM that always has a call for the target.

    Attributes
    ----------
    clock_error
        Seconds by which its monotonic clock is ahead of the model's time.
    is_running
        Whether it is neither stopped nor frozen.
    """

    def __init__(self, host: str, now: float, clock_error: float = 0.0) -> None:
        self.host = host
        self.clock_error = clock_error
        self.is_running = True
        self.started_at = now
        self.peers = PeerTable(host, host, ZONE)
        self.targets = TargetTable()
        service = document().services[ENGINES]
        self.targets.cold_terms = {service.name: TERMS}
        self.sharing = ColdSharing(host=host, zone=ZONE, members=self._members)

    def _members(self, own_now: float) -> frozenset[str] | None:
        now = own_now - self.clock_error
        if now - self.started_at < LIMIT_RING_DELAY_SECONDS:
            return None
        return self.peers.zone_members.hosts(own_now)

    def restart(self, now: float) -> None:
        """Forget everything."""
        self.__init__(self.host, now, self.clock_error)  # type: ignore[misc]

    def read_list(self, hosts: Iterable[str], now: float) -> None:
        """Read the platform's list of VMs."""
        self.peers.zone_members.record_list(hosts, now + self.clock_error)

    def hear(self, host: str, now: float, zone: str = ZONE) -> None:
        """Get a message of another VM."""
        if host == self.host:
            return
        self.peers.add(host, now + self.clock_error)
        peer = self.peers.peers[host]
        peer.zone, peer.last_message_at = zone, now + self.clock_error

    def read_entry(self, cold_seconds: float | None, now: float, life: int = 1) -> None:
        """Read an entry of the target."""
        entry = engine(TARGET, life=life, zone=ZONE, cold_seconds=cold_seconds)
        self.targets.update(entry, now + self.clock_error)

    def lose_contact(self, now: float) -> None:
        """Fail to connect to the target."""
        if TARGET in self.targets.states:
            self.targets.states[TARGET].mark_unreachable(now + self.clock_error)

    def connect(self, now: float) -> None:
        """Connect to the target."""
        if TARGET in self.targets.states:
            self.targets.states[TARGET].mark_reachable(now + self.clock_error)

    def send(self, now: float) -> bool:
        """Send a call if the target may get one."""
        state = self.targets.states.get(TARGET)
        own_now = now + self.clock_error
        if not self.is_running or state is None or state.is_unreachable(own_now):
            return False
        if not state.cold.allows(self.sharing, own_now):
            return False
        state.count_call(own_now)
        return True


@dataclass
class Zone:
    """VMs of one zone, and the arrivals of their calls at the target."""

    vms: list[SendingVm]
    now: float = START
    arrivals: list[float] = field(default_factory=list)

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of the VMs."""
        return [vm.host for vm in self.vms]

    def run(self, seconds: float, delay: float = 0.0) -> None:
        """Let the VMs send; calls arrive ``delay`` seconds later."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for vm in self.vms:
                # A VM without limits would send any number: a few show that as well.
                for _ in range(3):
                    if vm.send(self.now):
                        self.arrivals.append(self.now + delay)

    def most(self, since: float = 0.0) -> int:
        """Return the most arrivals in any second."""
        times = sorted(at for at in self.arrivals if at >= since)
        return max(
            (sum(at <= other < at + 1.0 for other in times) for at in times), default=0
        )


def make_zone(count: int, *, are_heard: bool = True, clock_error: float = 0.0) -> Zone:
    """Return VMs that read the list and that the target is cold, 3 s after the start.

    Parameters
    ----------
    clock_error
        Seconds by which the clock of every second VM is ahead.
    """
    vms = [
        SendingVm(f"v{number}", START - 3.0, clock_error * (number % 2))
        for number in range(count)
    ]
    for vm in vms:
        vm.read_list([other.host for other in vms], START - 3.0)
        for other in vms if are_heard else ():
            vm.hear(other.host, START - 3.0)
        vm.read_entry(TERMS.seconds, START)
    return Zone(vms)
