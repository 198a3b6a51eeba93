"""Selects the target of a call to a plain service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
import random

from gypsumsail.core.errors import NoTargetError
from gypsumsail.entry.const import NO_TARGET_RETRY_AFTER_SECONDS
from gypsumsail.entry.models import PlainJob
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import Constraints, Selection


class LeastRequestsSelector:
    """Selects the target with the fewest calls in flight from this entry.

    Targets of the entry's own zone are preferred among equally loaded ones.
    """

    def __init__(
        self,
        zone: str,
        *,
        targets: Callable[[str], tuple[VmRecord, ...]],
        rng: random.Random,
    ) -> None:
        self.zone = zone
        self.targets = targets
        self.rng = rng
        self.calls: Counter[str] = Counter()

    def select(self, job: PlainJob, constraints: Constraints) -> Selection:
        """Select a target; raises NoTargetError if none is available."""
        found = [
            vm
            for vm in self.targets(job.route_match.service)
            if _satisfies(vm, constraints)
        ]
        if not found:
            raise NoTargetError(
                "no target of the service is available",
                retry_after=NO_TARGET_RETRY_AFTER_SECONDS,
            )
        vm = min(found, key=self._cost)
        return Selection(vm=vm, incarnation=vm.incarnation)

    def on_sent(self, selection: Selection) -> None:
        """Count a call that is about to be sent."""
        self.calls[selection.vm.vm_id] += 1

    def on_ended(self, selection: Selection) -> None:
        """Count a call that has ended."""
        target = selection.vm.vm_id
        self.calls[target] -= 1
        if not self.calls[target]:
            del self.calls[target]

    def _cost(self, vm: VmRecord) -> tuple[int, bool, float]:
        return (self.calls[vm.vm_id], vm.zone != self.zone, self.rng.random())


def _satisfies(vm: VmRecord, constraints: Constraints) -> bool:
    if constraints.required_target:
        return vm.vm_id == constraints.required_target
    return vm.vm_id not in constraints.excluded
