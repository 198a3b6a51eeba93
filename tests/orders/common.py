"""Builders and fakes for tests of orders."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace
from typing import Any

from gypsumsail.core.errors import TransportError
from gypsumsail.document.models import (
    Deadlines,
    DocumentInForce,
    Model,
    ServiceDocument,
    ServiceKind,
    TierPolicy,
    TierWeights,
)
from gypsumsail.object_api.port import VmRecord, VmRole, VmState
from gypsumsail.orders.coordinator import OrdersCoordinator
from gypsumsail.orders.models import ObservedEngine
from gypsumsail.peers.port import EntryId
from gypsumsail.targets.port import (
    AnswerEnd,
    AnswerToken,
    CacheEvents,
    EngineRequest,
    EngineRole,
    EngineState,
    ExportBlocks,
    ExportResult,
    LoadedModel,
    LoadReport,
    SetState,
)
from tests.common import EventLog, ManualClock
from tests.once.common import FakeObjectApi

SERVICE = "claims"
MODEL = "verdict"
ZONES = ("brest-hall", "rennes-hall", "lorient-hall")


def document(version: int, weights: str, share: float = 0.25) -> DocumentInForce:
    return DocumentInForce(
        document=ServiceDocument(
            service=SERVICE,
            kind=ServiceKind.MODEL,
            owner="claims team",
            models=(Model(name=MODEL, weight_version=weights),),
            customers=(),
            routes=(),
            deadlines=Deadlines(default=30.0, longest=300.0),
            tiers=TierPolicy(
                weights=TierWeights(first_token=0.5, recomputed=0.3, link_use=0.2),
                link_bytes_per_second=1e6,
            ),
            unavailable_share=share,
        ),
        version=version,
        text="",
    )


def loaded(weights: str) -> tuple[LoadedModel, ...]:
    return (LoadedModel(model=MODEL, weight_version=weights),)


def serving(weights: str, **changes: Any) -> EngineState:
    state = EngineState(
        incarnation="i1",
        role=EngineRole.SERVE,
        models=loaded(weights),
        loading=(),
        highest_fence=0,
    )
    return replace(state, **changes)


@dataclass(slots=True, kw_only=True)
class FakeEngine:
    """An engine that loads models until the test calls ``finish``.

    Attributes
    ----------
    fencing
        Whether the engine refuses orders with an outdated fencing number.
    on_state_read
        Called before each read of the state, with the number of reads so far.
    held_orders
        Orders that were sent while ``hold`` is set and are not delivered yet.
    """

    state: EngineState
    fencing: bool = False
    down: bool = False
    hold: bool = False
    state_reads: int = 0
    on_state_read: Callable[[int], None] = lambda _: None
    held_orders: list[SetState] = field(default_factory=list)
    orders: list[SetState] = field(default_factory=list)

    async def async_state(self) -> EngineState:
        self.state_reads += 1
        self.on_state_read(self.state_reads)
        if self.down:
            raise TransportError("down", sent=False)
        return self.state

    async def async_set_state(self, order: SetState) -> EngineState:
        if self.hold:
            self.held_orders.append(order)
            raise TransportError("no answer", sent=True)
        return self.arrive(order)

    def arrive(self, order: SetState) -> EngineState:
        if self.fencing:
            if order.fence < self.state.highest_fence:
                raise TransportError("old fencing number", sent=True)
            self.state = replace(self.state, highest_fence=order.fence)
        self.orders.append(order)
        if self.state.loading or order.models != self.state.models:
            self.state = replace(self.state, loading=order.models)
        return self.state

    def finish(self) -> None:
        if self.state.loading:
            models, role = self.state.loading, EngineRole.SERVE
            self.state = replace(self.state, models=models, loading=(), role=role)

    def stream(
        self, request: EngineRequest
    ) -> AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]:
        raise NotImplementedError

    async def async_cancel(self, attempt_id: str) -> None:
        raise NotImplementedError

    async def async_load(self) -> LoadReport:
        raise NotImplementedError

    async def async_cache_events(self, *, after: int, wait: float) -> CacheEvents:
        raise NotImplementedError

    async def async_cache_contents(self) -> CacheEvents:
        raise NotImplementedError

    async def async_export(self, order: ExportBlocks) -> ExportResult:
        raise NotImplementedError


class Deployment:
    """Engines in three zones, and any number of issuers."""

    def __init__(self, engines: int = 6, *, fencing: bool = False) -> None:
        self.api = FakeObjectApi()
        self.clock = ManualClock()
        self.documents = (document(1, "v1"),)
        self.engines = {
            f"engine-{number}": FakeEngine(state=serving("v1"), fencing=fencing)
            for number in range(engines)
        }
        self.entries: tuple[EntryId, ...] = ()

    def targets(self, service: str) -> tuple[VmRecord, ...]:
        return self.vms() if service == SERVICE else ()

    def vms(self) -> tuple[VmRecord, ...]:
        return tuple(
            VmRecord(
                vm_id=name,
                incarnation="i1",
                zone=ZONES[number % len(ZONES)],
                role=VmRole.ENGINE,
                service=SERVICE,
                state=VmState.LIVE,
                url="",
            )
            for number, name in enumerate(self.engines)
        )

    def zone_entries(self) -> tuple[EntryId, ...]:
        return self.entries

    def all_in_force(self) -> tuple[DocumentInForce, ...]:
        return self.documents

    def issuer(self, name: str, zone: str = ZONES[0]) -> OrdersCoordinator:
        entry = EntryId(name=name, incarnation=f"{name}-1", zone=zone)
        return OrdersCoordinator(
            self.api,
            self,
            self,
            lambda vm: self.engines[vm.vm_id],
            EventLog(),
            self.clock,
            entry,
        )

    def loading_count(self) -> int:
        return sum(bool(engine.state.loading) for engine in self.engines.values())

    def observed(self) -> list[ObservedEngine]:
        return [
            ObservedEngine(
                target=vm.vm_id,
                service=vm.service,
                zone=vm.zone,
                state=None
                if self.engines[vm.vm_id].down
                else self.engines[vm.vm_id].state,
            )
            for vm in self.vms()
        ]
