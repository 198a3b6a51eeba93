"""Builders of VMs that keep state in the platform's store."""

from __future__ import annotations

from gypsumsail.gateway.part_suspects import MIN_CRASHES, PartSuspects
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.object_api.eras import EraTracker
from gypsumsail.vm.kept_state import KeptStateCoordinator
from tests.common import ManualClock
from tests.documents.common import FakeObjectApi
from tests.gateway.common import decision_log

KIND = "kept"


class KeepingVm:
    """A VM of a fleet whose other VMs it doesn't hear."""

    def __init__(self, api: FakeObjectApi, vm: str, clock: ManualClock) -> None:
        self.clock = clock
        self.eras = EraTracker()
        self.suspects = PartSuspects()
        self.kept_state = KeptStateCoordinator(
            vm,
            KIND,
            api,
            self.eras,
            PeerTable(vm, f"10.0.0.{vm[1:]}", "z1"),
            self.suspects,
            clock,
            decision_log(clock),
        )

    def block(self, part: str) -> None:
        """Block a part after crashes of as many targets as needed."""
        for life in range(MIN_CRASHES):
            orders = self.suspects.orders([part], self.clock.now)
            self.suspects.record_crash(orders, "e1", life, self.clock.now)

    async def async_write(self, seconds: float = 60.0) -> None:
        """Let some time pass and write what is due."""
        self.clock.now += seconds
        await self.kept_state.async_write_if_due()
