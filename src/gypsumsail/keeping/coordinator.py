"""Follows the stores of kept context and plans moves between them and engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.job import Job, Place
from gypsumsail.gateway.models import Address, ContextStore, PromptPart, RoutingDocument
from gypsumsail.gateway.port import NO_MOVE, ContextMove
from gypsumsail.gateway.targets import TargetState, TargetTable
from gypsumsail.keeping.const import (
    FETCH_SECONDS,
    POLL_SECONDS,
    POLLING_SHARE,
    RETRY_SECONDS,
)
from gypsumsail.keeping.planner import (
    PartFacts,
    SavePlace,
    Source,
    plan_fetch,
    plan_save,
)
from gypsumsail.keeping.port import ContextStores
from gypsumsail.keeping.store_view import StoreView
from gypsumsail.logs.decisions import DecisionLog

ENGINE_LINK_BYTES_PER_SECOND = 1e12
"""Engines' links are taken to be faster than any store's."""


class KeepingCoordinator:
    """Views of all stores of the document in force.

    Attributes
    ----------
    vms
        Names of the VMs that are believed alive, this one included.
    """

    def __init__(
        self,
        vm: str,
        stores: ContextStores,
        targets: TargetTable,
        clock: Clock,
        log: DecisionLog,
        vms: Callable[[], list[str]],
    ) -> None:
        self.vm = vm
        self.stores = stores
        self.targets = targets
        self.clock = clock
        self.log = log
        self.vms = vms
        self.views: dict[Address, StoreView] = {}
        self.tasks: dict[Address, asyncio.Task[None]] = {}

    @callback
    def set_document(self, document: RoutingDocument) -> None:
        """Follow the stores of a document."""
        stores = {store.address: store for store in document.stores}
        for address in list(self.views):
            if address not in stores:
                self._drop(address)
        for address, store in stores.items():
            if address not in self.views:
                self.views[address] = StoreView(store)
                task = asyncio.get_running_loop().create_task(
                    self._async_follow(self.views[address])
                )
                self.tasks[address] = task

    @callback
    def stop(self) -> None:
        """Follow no store any more."""
        for address in list(self.views):
            self._drop(address)

    def _drop(self, address: Address) -> None:
        view = self.views.pop(address)
        self.tasks.pop(address).cancel()
        self.stores.forget(view.store)

    async def _async_follow(self, view: StoreView) -> None:
        """Ask a store for its changes until cancelled."""
        while True:
            if not self._is_follower(view.store):
                view.lost()
                await asyncio.sleep(POLL_SECONDS)
                continue
            try:
                await self._async_ask(view)
            except TransportError as err:
                if view.life is not None:
                    self.log.write(
                        "store of context lost", store=view.store.name, reason=str(err)
                    )
                view.lost()
                await asyncio.sleep(RETRY_SECONDS)

    def _is_follower(self, store: ContextStore) -> bool:
        """Return whether this VM is one of those that the store's limit allows."""
        most = max(int(store.max_waiting_reads * POLLING_SHARE), 1)
        vms = self.vms()
        return len(vms) <= most or self.vm in list(rank(store.name, vms))[:most]

    async def _async_ask(self, view: StoreView) -> None:
        if view.life is None:
            answer = await self.stores.async_contents(view.store)
            view.begin(answer, self.clock.monotonic())
            self.log.write(
                "store of context followed",
                store=view.store.name,
                life=answer.life,
                parts=len(view.parts),
            )
            return
        answer = await self.stores.async_changes(
            view.store, view.next_number, POLL_SECONDS
        )
        if not view.take(answer, self.clock.monotonic()):
            self.log.write("store of context restarted", store=view.store.name)

    @callback
    def plan(self, job: Job, place: Place, now: float) -> ContextMove:
        """Return what the engine fetches and saves for a job."""
        prompt = job.call.prompt
        if prompt is None or place.weight_version is None or len(prompt.parts) < 2:
            return NO_MOVE
        scope = place.cache_scope
        facts = [
            self._facts(scope, part, place.state, now, is_shared=number > 0)
            for number, part in zip(
                range(len(prompt.parts) - 1, -1, -1), prompt.parts, strict=True
            )
        ]
        save = plan_save(facts)
        for part, address in zip(prompt.parts, save, strict=True):
            if address is not None:
                self.views[address].expect(scope, (part,), now)
        until = self._until_ms(now)
        return ContextMove(
            fetch=plan_fetch(facts),
            save=save,
            fetch_until_ms=until if until is not None else 0,
        )

    def _until_ms(self, now: float) -> int | None:
        for view in self.views.values():
            if view.clock_offset_ms is not None:
                return int((now + FETCH_SECONDS) * 1000 + view.clock_offset_ms)
        return None

    def _facts(
        self,
        scope: str,
        part: PromptPart,
        engine: TargetState,
        now: float,
        *,
        is_shared: bool,
    ) -> PartFacts:
        zone = engine.entry.zone
        views = self.views.values()
        return PartFacts(
            part=part,
            is_shared=is_shared,
            is_kept=any(view.expects(scope, part, now) for view in views),
            sources=tuple(self._sources(scope, part, engine, now)) if is_shared else (),
            places=tuple(
                SavePlace(
                    address=view.store.address,
                    is_near=view.store.zone == zone,
                    free_tokens=view.free_tokens(),
                )
                for view in views
                if view.is_fresh(now)
            ),
        )

    def _sources(
        self, scope: str, part: PromptPart, engine: TargetState, now: float
    ) -> Iterable[Source]:
        zone = engine.entry.zone
        for state in self.targets.of_service(engine.entry.service):
            if (
                state is not engine
                and state.cache.has(scope, part)
                and state.blocked_until <= now
                and not state.is_stalled(now)
            ):
                yield Source(
                    address=state.entry.address,
                    is_near=state.entry.zone == zone,
                    bytes_per_second=ENGINE_LINK_BYTES_PER_SECOND,
                )
        for view in self.views.values():
            if view.is_fresh(now) and view.holds(scope, part):
                yield Source(
                    address=view.store.address,
                    is_near=view.store.zone == zone,
                    bytes_per_second=view.store.bytes_per_second,
                )

    def movable_parts(
        self, scope: str, parts: Iterable[PromptPart], engine: TargetState, now: float
    ) -> int:
        """Return how many leading parts could be fetched instead of read."""
        count = 0
        for part in parts:
            if not any(self._sources(scope, part, engine, now)) and not (
                engine.cache.has(scope, part)
            ):
                break
            count += 1
        return count
