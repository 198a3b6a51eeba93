"""Chooses the target of a call to a plain service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
import random

from gypsumsail.core.errors import NoTargetError
from gypsumsail.entry.const import RETRY_AFTER_SECONDS
from gypsumsail.entry.models import PlainJob
from gypsumsail.object_api.port import VmRecord
from gypsumsail.relay.models import Constraints, Selection


class LeastRequestsSelector:
    """Takes the target with the fewest calls of this entry, near ones first."""

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
        """Choose a target; raises NoTargetError when there is none."""
        found = [
            vm
            for vm in self.targets(job.route_match.service)
            if _satisfies(vm, constraints)
        ]
        if not found:
            raise NoTargetError(
                "no target of the service can be had", retry_after=RETRY_AFTER_SECONDS
            )
        vm = min(found, key=self._cost)
        return Selection(vm=vm, incarnation=vm.incarnation)

    def on_sent(self, selection: Selection) -> None:
        """Count a call in."""
        self.calls[selection.vm.vm_id] += 1

    def on_ended(self, selection: Selection) -> None:
        """Count a call out."""
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
