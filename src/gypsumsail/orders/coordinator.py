"""Coordinator of orders; an entry is its zone's issuer while it holds the lease."""

from __future__ import annotations

import asyncio
from itertools import chain
import logging

from gypsumsail.core import rendezvous
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.object_api.port import ObjectApi, VmRecord, VmRole
from gypsumsail.orders.const import (
    CALL_TIMEOUT_SECONDS,
    MAX_LEASE_CANDIDATES,
    STEP_INTERVAL_SECONDS,
)
from gypsumsail.orders.desired_state import (
    desired_models,
    is_loading_desired,
    matches_desired,
)
from gypsumsail.orders.lease import may_order
from gypsumsail.orders.lease_manager import LeaseManager
from gypsumsail.orders.models import ObservedEngine
from gypsumsail.orders.planner import PlannedOrder, plan_orders
from gypsumsail.orders.port import DocumentSource, EngineFactory, MembershipSource
from gypsumsail.orders.rollout_state import (
    async_read_rollout_state,
    async_write_rollout_state,
)
from gypsumsail.peers.port import EntryId
from gypsumsail.targets.port import EngineState, SetState
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.port import Recorder

LOGGER = logging.getLogger(__name__)


class OrdersCoordinator:
    """Reconciles the engines of this entry's zone with the documents in force."""

    def __init__(
        self,
        api: ObjectApi,
        documents: DocumentSource,
        membership: MembershipSource,
        engine_factory: EngineFactory,
        recorder: Recorder,
        clock: Clock,
        entry: EntryId,
    ) -> None:
        self.api = api
        self.documents = documents
        self.membership = membership
        self.engine_factory = engine_factory
        self.recorder = recorder
        self.clock = clock
        self.entry = entry
        self.lease_manager = LeaseManager(api, clock, entry.zone, _holder(entry))
        self.highest_fence = 0
        self.task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start the task that acquires the lease and sends orders."""
        self.task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop sending orders, then release the lease."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            self.task = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await self.lease_manager.async_release()
        except TimeoutError:
            LOGGER.info("Timeout while releasing the orders lease; it will expire")

    async def async_step(self) -> None:
        """Acquire or renew the lease and, while it is held, advance each rollout.

        Raises
        ------
        TransportError
            The platform could not be reached.
        ConflictError
            The issuer of another zone wrote the rollout state first.
        OrdersCorruptError
            The lease or the rollout state can't be decoded.
        TimeoutError
            The lease was not read and written in time.
        """
        if self.lease_manager.held is None and not self._is_candidate():
            return
        await self._async_update_lease()
        if not self.may_order(self.clock.monotonic()):
            return
        engines = await self._async_observe()
        if not any(engine.zone == self.entry.zone for engine in engines):
            return
        stored = await async_read_rollout_state(self.api)
        plan = plan_orders(
            self.documents.all_in_force(),
            engines,
            stored.rollout_state,
            self.entry.zone,
        )
        if not self.may_order(self.clock.monotonic()):
            return
        if plan.orders or plan.rollout_state != stored.rollout_state:
            await async_write_rollout_state(self.api, stored, plan.rollout_state)
        for target in plan.completed:
            self._record(EventKind.ORDER_DONE, target)
        await asyncio.gather(*map(self._async_send_order, plan.orders))

    async def _async_run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS * 4):
                    await self.async_step()
            except (GypsumsailError, TimeoutError) as err:
                LOGGER.info("Lease or rollout step failed, retrying: %r", err)
            except Exception:
                LOGGER.exception("Unexpected error in rollout step")
            await asyncio.sleep(STEP_INTERVAL_SECONDS)

    def may_order(self, now: float) -> bool:
        """Return whether this entry may send orders at the monotonic time ``now``."""
        return may_order(self.lease_manager.held, now)

    def _is_candidate(self) -> bool:
        """Return whether this entry is one of the candidates for the lease."""
        names = {
            self.lease_manager.holder,
            *map(_holder, self.membership.zone_entries()),
        }
        ranked = rendezvous.rank(self.lease_manager.key, names)
        return self.lease_manager.holder in ranked[:MAX_LEASE_CANDIDATES]

    async def _async_update_lease(self) -> None:
        before = self.lease_manager.held
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await self.lease_manager.async_step(self.highest_fence)
        finally:
            after = self.lease_manager.held
            if after is not None and (before is None or before.fence != after.fence):
                self._record(EventKind.LEASE_ACQUIRED, "", f"fence {after.fence}")
            if before is not None and after is None:
                self._record(EventKind.LEASE_LOST, "", f"fence {before.fence}")

    async def _async_observe(self) -> list[ObservedEngine]:
        """Read the states of the engines that the plan depends on.

        Engines of other zones are read only for services of which an engine in
        this zone differs from its desired state: for other services there is no
        order to plan.
        """
        listed = self._listed_engines()
        own = await self._async_read_states(
            [vm for vm in listed if vm.zone == self.entry.zone]
        )
        differing = self._differing_services(own)
        others = await self._async_read_states(
            [
                vm
                for vm in listed
                if vm.zone != self.entry.zone and vm.service in differing
            ]
        )
        self.highest_fence = max(
            (engine.state.highest_fence for engine in own if engine.state is not None),
            default=0,
        )
        return [*own, *others]

    def _differing_services(self, engines: list[ObservedEngine]) -> set[str]:
        """Return the services with an engine that differs from its desired state.

        An engine whose state could not be read counts as differing.
        """
        desired = {
            in_force.document.service: desired_models(in_force.document)
            for in_force in self.documents.all_in_force()
        }
        return {
            engine.service
            for engine in engines
            if engine.state is None
            or not matches_desired(engine.state, desired[engine.service])
        }

    async def _async_read_states(self, vms: list[VmRecord]) -> list[ObservedEngine]:
        states = await asyncio.gather(*map(self._async_state, vms))
        return [
            ObservedEngine(
                target=vm.vm_id,
                service=vm.service,
                zone=vm.zone,
                state=state,
            )
            for vm, state in zip(vms, states, strict=True)
        ]

    def _listed_engines(self) -> list[VmRecord]:
        services = [
            in_force.document.service for in_force in self.documents.all_in_force()
        ]
        targets = chain.from_iterable(map(self.membership.targets, services))
        return [vm for vm in targets if vm.role is VmRole.ENGINE]

    async def _async_state(self, vm: VmRecord) -> EngineState | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await self.engine_factory(vm).async_state()
        except (GypsumsailError, TimeoutError) as err:
            LOGGER.debug("State of engine %s could not be read: %s", vm.vm_id, err)
            return None

    async def _async_send_order(self, order: PlannedOrder) -> None:
        """Read the engine's state again, then send it the desired state.

        The next step reads whether the desired state was reached, and repeats an
        order that was not answered or was refused.
        """
        targets = self.membership.targets(order.service)
        vm = next((vm for vm in targets if vm.vm_id == order.target), None)
        if vm is None:
            return
        state = await self._async_state(vm)
        held = self.lease_manager.held
        if state is None or held is None or not self.may_order(self.clock.monotonic()):
            return
        if matches_desired(state, order.models) or is_loading_desired(
            state, order.models
        ):
            return
        message = SetState(fence=held.fence, role=order.role, models=order.models)
        self._record(
            EventKind.ORDER_SENT,
            order.target,
            f"fence {held.fence}",
            service=order.service,
            version=order.document_version,
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await self.engine_factory(vm).async_set_state(message)
        except (GypsumsailError, TimeoutError) as err:
            LOGGER.info("Order to engine %s not confirmed: %s", order.target, err)

    def _record(
        self,
        kind: EventKind,
        target: str,
        detail: str = "",
        *,
        service: str = "",
        version: int = 0,
    ) -> None:
        self.recorder.record(
            Event(
                kind=kind,
                target=target,
                service=service,
                version=version,
                detail=detail,
            )
        )


def _holder(entry: EntryId) -> str:
    return f"{entry.name}/{entry.incarnation}"
