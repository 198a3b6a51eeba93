"""Planner of rollouts: selects the next engines and their orders, without I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.document.models import DocumentInForce, ServiceKind
from gypsumsail.orders.const import MAX_CONCURRENT_LOADS
from gypsumsail.orders.desired_state import (
    desired_models,
    is_loading_desired,
    is_serving,
    matches_desired,
)
from gypsumsail.orders.models import (
    LatestOrderedVersion,
    ObservedEngine,
    RolloutSlot,
    RolloutState,
)
from gypsumsail.targets.port import EngineRole, LoadedModel


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedOrder:
    """Desired state of one engine, without a fencing number."""

    target: str
    service: str
    document_version: int
    role: EngineRole
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderPlan:
    """Next step of an issuer.

    Attributes
    ----------
    rollout_state
        Rollout state to be written before any order is sent.
    orders
        Orders to engines of the issuer's zone that have a slot in
        ``rollout_state``.
    completed
        Targets of the zone that reached their desired state and released their
        slot.
    """

    rollout_state: RolloutState
    orders: tuple[PlannedOrder, ...]
    completed: tuple[str, ...]


def max_unavailable_count(total: int, unavailable_share: float) -> int:
    """Return how many engines of a service may be unavailable at the same time.

    At least one may, so that a rollout makes progress. One engine always stays
    available, unless the service has only one.
    """
    allowed = max(1, int(total * unavailable_share))
    return max(1, min(allowed, total - 1))


def plan_orders(
    documents: Sequence[DocumentInForce],
    engines: Sequence[ObservedEngine],
    rollout_state: RolloutState,
    zone: str,
) -> OrderPlan:
    """Plan the next step of all rollouts as the issuer of one zone.

    Parameters
    ----------
    engines
        Engines of all zones that are not leaving.
    rollout_state
        Rollout state of all zones as just read.
    """
    latest_versions = {
        item.service: item.document_version for item in rollout_state.latest_versions
    }
    services = {in_force.document.service for in_force in documents}
    present = {engine.target for engine in engines if engine.service in services}
    slots = [
        slot
        for slot in rollout_state.slots
        if slot.zone != zone or slot.target in present
    ]
    orders: list[PlannedOrder] = []
    completed: list[str] = []
    for in_force in sorted(documents, key=lambda item: item.document.service):
        service = in_force.document.service
        if in_force.document.kind is not ServiceKind.MODEL:
            continue
        if in_force.version < latest_versions.get(service, 0):
            continue
        members = [engine for engine in engines if engine.service == service]
        rollout = _ServiceRollout(in_force, members, zone, slots)
        slots = rollout.slots
        orders.extend(rollout.orders)
        completed.extend(rollout.completed)
        if rollout.orders:
            latest_versions[service] = in_force.version
    return OrderPlan(
        rollout_state=RolloutState(
            slots=tuple(slots),
            latest_versions=tuple(
                LatestOrderedVersion(service=service, document_version=version)
                for service, version in sorted(latest_versions.items())
            ),
        ),
        orders=tuple(orders),
        completed=tuple(completed),
    )


class _ServiceRollout:
    """Plans the next step of one service, engine by engine."""

    def __init__(
        self,
        in_force: DocumentInForce,
        members: Sequence[ObservedEngine],
        zone: str,
        slots: list[RolloutSlot],
    ) -> None:
        self.in_force = in_force
        self.members = sorted(members, key=lambda engine: engine.target)
        self.zone = zone
        self.models = desired_models(in_force.document)
        self.max_unavailable = max_unavailable_count(
            len(members), in_force.document.unavailable_share
        )
        self.slots = slots
        self.orders: list[PlannedOrder] = []
        self.completed: list[str] = []
        for engine in self.members:
            if engine.zone == zone:
                self._step(engine)

    def _step(self, engine: ObservedEngine) -> None:
        if engine.state is None:
            return
        has_slot = any(slot.target == engine.target for slot in self.slots)
        if matches_desired(engine.state, self.models):
            if has_slot:
                self._release_slot(engine)
            return
        if not has_slot and not self._may_start_load(engine):
            return
        self._put_slot(engine)
        if is_loading_desired(engine.state, self.models):
            return
        if has_slot and not self._may_become_unavailable(engine):
            return
        self.orders.append(
            PlannedOrder(
                target=engine.target,
                service=engine.service,
                document_version=self.in_force.version,
                role=EngineRole.SERVE,
                models=self.models,
            )
        )

    def _may_start_load(self, engine: ObservedEngine) -> bool:
        if len(self.slots) >= MAX_CONCURRENT_LOADS:
            return False
        return self._may_become_unavailable(engine)

    def _may_become_unavailable(self, engine: ObservedEngine) -> bool:
        """Return whether an order may take the engine out of service.

        Engines that hold a slot are asked as well: another engine may have stopped
        serving since the slot was given.
        """
        if not is_serving(engine.state):
            return True
        others = self._unavailable() - {engine.target}
        return len(others) < self.max_unavailable

    def _unavailable(self) -> set[str]:
        """Return the engines that don't serve or that have a slot to load."""
        slots = {slot.target for slot in self.slots}
        return {
            member.target
            for member in self.members
            if member.target in slots or not is_serving(member.state)
        }

    def _put_slot(self, engine: ObservedEngine) -> None:
        """Add the engine's slot, or update its document version."""
        slot = RolloutSlot(
            target=engine.target,
            service=engine.service,
            zone=self.zone,
            document_version=self.in_force.version,
        )
        rest = [item for item in self.slots if item.target != engine.target]
        self.slots = [*rest, slot]

    def _release_slot(self, engine: ObservedEngine) -> None:
        self.slots = [item for item in self.slots if item.target != engine.target]
        self.completed.append(engine.target)
