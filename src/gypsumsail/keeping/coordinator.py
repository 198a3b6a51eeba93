"""Follows the stores of kept context and plans moves between them and engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
import random

from gypsumsail.core.callback import callback
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.job import Job, Place
from gypsumsail.gateway.models import Address, ContextStore, PromptPart, RoutingDocument
from gypsumsail.gateway.port import NO_MOVE, ContextMove
from gypsumsail.gateway.targets import TargetState, TargetTable
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.gossip.messages import StoreUpdate
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.keeping.const import (
    DUTY_SECONDS,
    FETCH_SECONDS,
    FOLLOWERS_IN_A_ZONE,
    FREE_CALL_SECONDS,
    FREE_INTERVAL_SECONDS,
    PARTS_IN_A_CALL,
    POLL_SECONDS,
    POLLING_SHARE,
    RETRY_SECONDS,
    SLOW_SECONDS,
    VIEW_TIMEOUT_SECONDS,
)
from gypsumsail.keeping.freeing import VersionUse, oldest_wanted, parts_to_free
from gypsumsail.keeping.planner import (
    PartFacts,
    SavePlace,
    Source,
    plan_fetch,
    plan_save,
)
from gypsumsail.keeping.port import ContextStores, PeerViews
from gypsumsail.keeping.relay import (
    VIEW_PATH,
    StoreTeller,
    decode_view,
    encode_view,
    relayed,
)
from gypsumsail.keeping.store_view import StoreView
from gypsumsail.logs.decisions import DecisionLog

ENGINE_LINK_BYTES_PER_SECOND = 1e12
"""Engines' links are taken to be faster than any store's."""


class KeepingCoordinator:
    """Views of all stores of the document in force.

    In a larger fleet a few VMs of each zone follow a store and tell the others.

    Attributes
    ----------
    on_news
        Called with what this VM tells the others of a store.
    wanted
        Versions that the operator named, by model.
    rollout_seconds
        Time after which no call may begin on older weights.
    """

    def __init__(
        self,
        stores: ContextStores,
        targets: TargetTable,
        peers: PeerTable,
        clients: PeerViews,
        wanted: Mapping[str, WantedWeights],
        rollout_seconds: float,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.stores = stores
        self.peers = peers
        self.clients = clients
        self.targets = targets
        self.clock = clock
        self.log = log
        self.on_news: Callable[[StoreUpdate], None] = lambda news: None
        self.tellers: dict[Address, StoreTeller] = {}
        self.asked: set[Address] = set()
        self.asking: set[asyncio.Task[None]] = set()
        self.views: dict[Address, StoreView] = {}
        self.views_by_name: dict[str, StoreView] = {}
        self.tasks: dict[Address, asyncio.Task[None]] = {}
        self.random = random.Random()
        self.use = VersionUse()
        self.rollout_seconds = rollout_seconds
        self.wanted = wanted

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
                self.views_by_name[str(address)] = self.views[address]
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
        del self.views_by_name[str(address)]
        self.tasks.pop(address).cancel()
        self.stores.forget(view.store)

    async def _async_follow(self, view: StoreView) -> None:
        """Keep a view up to date until cancelled."""
        while True:
            if not self._is_follower(view.store):
                await asyncio.sleep(DUTY_SECONDS)
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

    async def async_run(self) -> None:
        """Free what no engine can use any more, until cancelled."""
        while True:
            await asyncio.sleep(FREE_INTERVAL_SECONDS)
            await self.async_free_unused(self.clock.monotonic())

    async def async_free_unused(self, now: float) -> None:
        """Free parts of old weights in the stores that this VM has the duty for."""
        self.use.look(self.targets.states.values(), now)
        oldest = oldest_wanted(self.wanted, self.rollout_seconds, now)
        if not oldest:
            return
        for view in list(self.views.values()):
            if view.store.is_managed and view.is_fresh(now) and self._frees(view, now):
                await self._async_free(view, oldest, now)

    def _frees(self, view: StoreView, now: float) -> bool:
        """Return whether this VM is the one that frees parts of a store."""
        ranked = rank(f"free {view.store.name}", self.peers.names(now))
        return next(iter(ranked)) == self.peers.vm

    async def _async_free(self, view: StoreView, oldest: int, now: float) -> None:
        parts = parts_to_free(view.parts, oldest, self.use, now, PARTS_IN_A_CALL)
        until_ms = view.clock_ms(now + FREE_CALL_SECONDS)
        if not parts or until_ms is None or view.life is None:
            return
        reason = ""
        try:
            await self.stores.async_free(view.store, view.life, parts, until_ms)
        except TransportError as err:
            reason = str(err)
        self.log.write(
            "parts not freed" if reason else "parts freed",
            store=view.store.name,
            life=view.life,
            parts=len(parts),
            oldest_version=oldest,
            reason=reason,
        )

    def _is_follower(self, store: ContextStore) -> bool:
        """Return whether this VM asks the store itself."""
        now = self.clock.monotonic()
        most = max(int(store.max_waiting_reads * POLLING_SHARE), 1)
        if self.peers.count(now) <= most:
            return True
        return self.peers.is_assigned(store.name, FOLLOWERS_IN_A_ZONE, now)

    async def _async_ask(self, view: StoreView) -> None:
        if view.life is None or view.teller:
            answer = await self.stores.async_contents(view.store)
            now = self.clock.monotonic()
            view.begin(answer, now)
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
        now = self.clock.monotonic()
        if not view.take(answer, now):
            self.log.write("store of context restarted", store=view.store.name)
            return
        if self.peers.is_large(now):
            teller = self.tellers.setdefault(view.store.address, StoreTeller())
            for news in teller.news(view, answer.changes, now):
                self.on_news(news)

    @callback
    def take_news(self, peer: Peer, news: StoreUpdate) -> None:
        """Take what another VM tells of a store that this one doesn't follow."""
        now = self.clock.monotonic()
        view = self.views_by_name.get(news.store)
        if view is None or self._is_follower(view.store):
            return
        if view.take_relay(relayed(peer.vm, news), now):
            return
        if view.store.address in self.asked:
            return
        self.asked.add(view.store.address)
        task = asyncio.get_running_loop().create_task(self._async_take_view(peer, view))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)

    async def _async_take_view(self, peer: Peer, view: StoreView) -> None:
        """Ask a VM that follows a store for all that the store holds."""
        try:
            body = await self.clients.async_get(
                peer.host,
                f"{VIEW_PATH}{view.store.address}",
                {},
                VIEW_TIMEOUT_SECONDS,
            )
            if body is not None:
                view.begin(decode_view(body), self.clock.monotonic(), peer.vm)
        except (TransportError, ValueInvalidError) as err:
            self.log.write("view not taken", peer=peer.vm, reason=str(err))
        finally:
            self.asked.discard(view.store.address)

    def encoded_view(self, address: str) -> bytes | None:
        """Return the view of a store that this VM follows, for another VM."""
        now = self.clock.monotonic()
        view = self.views_by_name.get(address)
        if view is None or view.teller or not view.is_fresh(now):
            return None
        teller = self.tellers.setdefault(view.store.address, StoreTeller())
        return encode_view(view, teller.number, now)

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
        save = self._save(prompt.model, place.weight_version, facts)
        for part, address in zip(prompt.parts, save, strict=True):
            if address is not None:
                self.views[address].expect(scope, (part,), now)
        until = self._until_ms(now + place.start_delay)
        fetch = plan_fetch(facts)
        place.fetched_from = frozenset(address for address in fetch if address)
        return ContextMove(
            fetch=fetch,
            save=save,
            fetch_until_ms=until if until is not None else 0,
        )

    def _save(
        self, model: str, version: int, facts: list[PartFacts]
    ) -> tuple[Address | None, ...]:
        """Return where parts are saved; parts of old weights are kept nowhere."""
        want = self.wanted.get(model)
        if want is not None and version < want.version:
            return (None,) * len(facts)
        return plan_save(facts, self.random.random())

    @callback
    def first_token(self, place: Place, waited: float, now: float) -> None:
        """Pass over stores for a while whose fetch seems to have been thrown away."""
        if waited < place.start_delay + FETCH_SECONDS:
            return
        for address in place.fetched_from:
            view = self.views.get(address)
            if view is not None and now >= view.slow_until:
                view.slow_until = now + SLOW_SECONDS
                self.log.write(
                    "store of context slow",
                    store=view.store.name,
                    waited_ms=round(waited * 1000),
                    expected_ms=round(place.start_delay * 1000),
                )

    def _until_ms(self, now: float) -> int | None:
        for view in self.views.values():
            clock_ms = view.clock_ms(now + FETCH_SECONDS)
            if clock_ms is not None:
                return clock_ms
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
                    bytes_per_second=view.store.bytes_per_second,
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
        for state in self._engines_with(engine.entry.service, scope, part, now):
            if state is not engine:
                yield Source(
                    address=state.entry.address,
                    is_near=state.entry.zone == zone,
                    bytes_per_second=ENGINE_LINK_BYTES_PER_SECOND,
                )
        for view in self._views_with(scope, part, now):
            yield Source(
                address=view.store.address,
                is_near=view.store.zone == zone,
                bytes_per_second=view.store.bytes_per_second,
            )

    def _engines_with(
        self, service: str, scope: str, part: PromptPart, now: float
    ) -> Iterable[TargetState]:
        return (
            state
            for state in self.targets.of_service(service)
            if state.cache.has(scope, part)
            and not state.is_unreachable(now)
            and not state.is_stalled(now)
        )

    def _views_with(
        self, scope: str, part: PromptPart, now: float
    ) -> Iterable[StoreView]:
        return (
            view
            for view in self.views.values()
            if view.is_source(now) and view.holds(scope, part)
        )

    def movable_parts(
        self, service: str, scope: str, parts: Iterable[PromptPart], now: float
    ) -> int:
        """Return how many leading parts an engine could have without reading them."""
        count = 0
        for part in parts:
            if not any(self._views_with(scope, part, now)) and not any(
                self._engines_with(service, scope, part, now)
            ):
                break
            count += 1
        return count
