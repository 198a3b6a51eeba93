"""Tracks the context stores and plans transfers between them and engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
import random

from gypsumsail.context_stores.const import (
    FETCH_TIMEOUT_SECONDS,
    FREE_CALL_TIMEOUT_SECONDS,
    FREE_INTERVAL_SECONDS,
    LATE_CONFIRMATION_SECONDS,
    LONG_POLL_SECONDS,
    MAX_PARTS_PER_CALL,
    MAX_POLLING_SHARE,
    OTHER_SERVER_DELAY_SECONDS,
    POLLING_CHECK_SECONDS,
    POLLING_VMS_PER_ZONE,
    RETRY_DELAY_SECONDS,
    SLOW_STORE_PAUSE_SECONDS,
    VIEW_TIMEOUT_SECONDS,
)
from gypsumsail.context_stores.errors import MisplacedAnswerError, OtherServerError
from gypsumsail.context_stores.freeing import (
    VersionUse,
    oldest_needed_version,
    parts_to_free,
)
from gypsumsail.context_stores.planner import (
    FetchSource,
    PartOptions,
    SaveDestination,
    plan_fetch,
    plan_save,
)
from gypsumsail.context_stores.port import ContextStores, PeerViews
from gypsumsail.context_stores.relay import (
    VIEW_PATH,
    StoreRelay,
    decode_view,
    encode_view,
    relayed_changes,
)
from gypsumsail.context_stores.report_exchange import ReportExchange
from gypsumsail.context_stores.store_view import (
    PartKey,
    StoreChange,
    StoreView,
)
from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.callback import callback
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import rank
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.evacuations.homes import Homes, Regions
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import Address, ContextStore, PromptPart, RoutingDocument
from gypsumsail.gateway.port import NO_TRANSFER, ContextTransfer
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.gossip.messages import ContextStoreUpdate
from gypsumsail.gossip.peers import Peer, PeerTable
from gypsumsail.logs.decisions import DecisionLog

ENGINE_LINK_BYTES_PER_SECOND = 1e12
"""Engines' links are assumed to be faster than those of any store."""


def retry_delay(err: TransportError) -> float:
    """Return the delay in seconds after a failed request to a store."""
    if isinstance(err, OtherServerError):
        return OTHER_SERVER_DELAY_SECONDS
    return RETRY_DELAY_SECONDS


class ContextStoreCoordinator:
    """Views of all stores in the document in force.

    In a large fleet a few VMs of each zone poll a store and relay its changes to the
    others.

    Attributes
    ----------
    on_store_update
        Called with each update on a store that this VM relays to other VMs.
    requested_views
        Stores for which a whole view has been requested from another VM.
    loss_reasons
        Reason, last logged, for which a store is not followed.
    wanted
        Versions that the operator selected, by model.
    rollout_seconds
        Time after the selection of a version during which calls may still start on
        older weights.
    evacuated_zones
        Zones from whose engines nothing is fetched.
    regions
        Regions of the zones, to which kept context may be confined.
    exchange
        Reports of this VM and others, by which parts become fetchable.
    on_listed
        Called with the view of a store that this VM has listed.
    """

    def __init__(
        self,
        stores: ContextStores,
        targets: TargetTable,
        peers: PeerTable,
        peer_views: PeerViews,
        wanted: Mapping[str, WantedWeights],
        rollout_seconds: float,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.stores = stores
        self.peers = peers
        self.peer_views = peer_views
        self.targets = targets
        self.clock = clock
        self.log = log
        self.on_store_update: Callable[[ContextStoreUpdate], None] = lambda update: None
        self.relays: dict[Address, StoreRelay] = {}
        self.requested_views: set[Address] = set()
        self.loss_reasons: dict[Address, str] = {}
        self.view_tasks: set[asyncio.Task[None]] = set()
        self.views: dict[Address, StoreView] = {}
        self.views_by_name: dict[str, StoreView] = {}
        self.tasks: dict[Address, asyncio.Task[None]] = {}
        self.random = random.Random()
        self.version_use = VersionUse()
        self.rollout_seconds = rollout_seconds
        self.wanted = wanted
        self.evacuated_zones: Collection[str] = ()
        self.regions = Regions(own_zone=peers.zone)
        self.exchange = ReportExchange(peers, self._polls_store, self._is_relayed)
        self.exchange.on_confirmed = self._relay_confirmed
        self.on_listed: Callable[[StoreView], None] = lambda view: None

    @callback
    def set_document(self, document: RoutingDocument) -> None:
        """Track the stores in a document, and no others."""
        self.exchange.set_longest_call(document)
        stores = {store.address: store for store in document.stores}
        for address in list(self.views):
            if address not in stores:
                self._remove_view(address)
        for address, store in stores.items():
            if address not in self.views:
                self.views[address] = StoreView(store)
                self.views_by_name[str(address)] = self.views[address]
                self.exchange.add(self.views[address])
                task = asyncio.get_running_loop().create_task(
                    self._async_keep_current(self.views[address])
                )
                self.tasks[address] = task

    @callback
    def stop(self) -> None:
        """Stop tracking all stores."""
        for address in list(self.views):
            self._remove_view(address)

    def _remove_view(self, address: Address) -> None:
        view = self.views.pop(address)
        self.loss_reasons.pop(address, None)
        del self.views_by_name[str(address)]
        self.tasks.pop(address).cancel()
        self.exchange.remove(address)
        self.stores.forget(view.store)

    async def _async_keep_current(self, view: StoreView) -> None:
        """Keep a view up to date until cancelled."""
        while True:
            if not self._polls_store(view.store):
                await async_sleep_aligned(POLLING_CHECK_SECONDS)
                continue
            if self._is_taken_over(view.store):
                self._drop(view, "a target is listed at its address")
                await async_sleep_aligned(POLLING_CHECK_SECONDS)
                continue
            try:
                await self._async_poll(view)
            except MisplacedAnswerError as err:
                if not self._handle_misplaced_answer(view, err):
                    self._drop(view, str(err))
                    await asyncio.sleep(RETRY_DELAY_SECONDS)
            except TransportError as err:
                self._drop(view, str(err))
                await asyncio.sleep(retry_delay(err))
            else:
                view.misplaced_answers = 0
                self.loss_reasons.pop(view.store.address, None)

    def _is_taken_over(self, store: ContextStore) -> bool:
        """Return whether a target has the address of a store that is gone.

        Engines answer the same calls as stores.
        """
        return any(
            state.entry.address == store.address
            for state in self.targets.states.values()
        )

    def _handle_misplaced_answer(
        self, view: StoreView, err: MisplacedAnswerError
    ) -> bool:
        """Close the connection; return whether to keep the contents and ask again.

        The first answer on a new connection can't belong to an earlier call, so that
        another such answer shows that the store's numbers are not understood.
        """
        self.stores.forget(view.store)
        view.misplaced_answers += 1
        self.log.write(
            "store of context repeated an answer",
            store=view.store.name,
            address=str(view.store.address),
            since=view.next_number,
            reason=str(err),
        )
        return view.misplaced_answers == 1

    def _drop(self, view: StoreView, reason: str) -> None:
        """Forget the contents of a store that does not answer as expected."""
        self._log_loss(view, reason)
        view.reset()

    def _log_loss(self, view: StoreView, reason: str) -> None:
        """Log why a store is not followed; once for each reason in a row."""
        if self.loss_reasons.get(view.store.address) == reason:
            return
        self.loss_reasons[view.store.address] = reason
        self.log.write(
            "store of context lost",
            store=view.store.name,
            address=str(view.store.address),
            reason=reason,
        )

    async def async_run(self) -> None:
        """Free parts that no engine can use any more, until cancelled."""
        while True:
            await async_sleep_aligned(FREE_INTERVAL_SECONDS)
            await self.async_free_unused(self.clock.monotonic())

    async def async_free_unused(self, now: float) -> None:
        """Free parts of old weights in the stores for which this VM is responsible."""
        self.version_use.observe(self.targets.states.values(), now)
        oldest = oldest_needed_version(self.wanted, self.rollout_seconds, now)
        if not oldest:
            return
        for view in list(self.views.values()):
            if (
                view.store.is_managed
                and view.is_fresh(now)
                and self._is_freeing_vm(view, now)
            ):
                await self._async_free(view, oldest, now)

    def _is_freeing_vm(self, view: StoreView, now: float) -> bool:
        """Return whether this VM is the one that frees parts in a store."""
        ranked = rank(f"free {view.store.name}", self.peers.names(now))
        return next(iter(ranked)) == self.peers.vm

    async def _async_free(self, view: StoreView, oldest: int, now: float) -> None:
        parts = parts_to_free(
            view.parts, oldest, self.version_use, now, MAX_PARTS_PER_CALL
        )
        until_ms = view.clock_ms(now + FREE_CALL_TIMEOUT_SECONDS)
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

    def _polls_store(self, store: ContextStore) -> bool:
        """Return whether this VM polls the store itself."""
        now = self.clock.monotonic()
        if not self._is_relayed(store, now):
            return True
        return self.peers.is_assigned(store.name, POLLING_VMS_PER_ZONE, now)

    def _is_relayed(self, store: ContextStore, now: float) -> bool:
        """Return whether there are more VMs than may poll a store."""
        max_polling_vms = max(int(store.max_waiting_reads * MAX_POLLING_SHARE), 1)
        return self.peers.count(now) > max_polling_vms

    async def _async_poll(self, view: StoreView) -> None:
        if view.life is None or view.relay_vm or self.exchange.wants_list(view):
            await self._async_list(view)
            return
        answer = await self.stores.async_changes(
            view.store, view.next_number, LONG_POLL_SECONDS
        )
        now = self.clock.monotonic()
        if view.relay_vm:
            # Another VM has begun to relay the store, with numbers of its own.
            return
        if view.repeats_earlier(answer):
            raise MisplacedAnswerError(
                f"{answer.next_number} is not after {view.next_number}", sent=True
            )
        changes = view.differing(answer.changes)
        if not view.apply_changes(answer, now):
            self.log.write("store of context restarted", store=view.store.name)
            return
        self._relay_changes(view, changes, now)
        self.exchange.confirm_parts(view, now)

    async def _async_list(self, view: StoreView) -> None:
        answer = await self.stores.async_contents(view.store)
        now = self.clock.monotonic()
        goes_on = answer.life == view.life and not view.relay_vm
        listed = {(change.scope, change.part) for change in answer.changes}
        changes = (
            *(
                StoreChange(scope=scope, part=part, tokens=0)
                for scope, part in view.parts
                if (scope, part) not in listed
            ),
            *view.differing(answer.changes),
        )
        view.load(answer, now)
        self.exchange.record_list(view)
        if goes_on:
            self._relay_changes(view, changes, now)
        elif view.store.address in self.relays:
            # VMs that miss an update ask for the whole view.
            self.relays[view.store.address].number += 1
        self.exchange.confirm_parts(view, now)
        self.on_listed(view)
        self.log.write(
            "store of context followed",
            store=view.store.name,
            address=str(view.store.address),
            life=answer.life,
            parts=len(view.parts),
            unconfirmed=len(view.unconfirmed),
        )

    def _relay_changes(
        self, view: StoreView, changes: tuple[StoreChange, ...], now: float
    ) -> None:
        """Tell the VMs that follow a store by this one of its changes."""
        if not self._is_relayed(view.store, now):
            return
        relay = self.relays.setdefault(view.store.address, StoreRelay())
        for update in relay.updates(view, changes, now):
            self.on_store_update(update)
        self.exchange.record_update(view, relay.number - 1)

    @callback
    def _relay_confirmed(
        self, view: StoreView, keys: Sequence[PartKey], waited: float
    ) -> None:
        """Tell them of parts that may be fetched from now on."""
        if waited >= LATE_CONFIRMATION_SECONDS:
            self.log.write(
                "parts of store confirmed late",
                store=view.store.name,
                life=view.life,
                parts=len(keys),
                waited_ms=round(waited * MILLISECONDS_PER_SECOND),
                left=len(view.unconfirmed),
            )
        changes = tuple(
            StoreChange(scope=scope, part=part, tokens=view.parts[(scope, part)])
            for scope, part in keys
        )
        self._relay_changes(view, changes, self.clock.monotonic())

    @callback
    def apply_store_update(self, peer: Peer, update: ContextStoreUpdate) -> None:
        """Apply an update from another VM on a store that this VM doesn't poll."""
        now = self.clock.monotonic()
        view = self.views_by_name.get(update.store)
        if view is None or self._polls_store(view.store):
            return
        if view.apply_relayed(relayed_changes(peer.vm, update), now):
            return
        if view.store.address in self.requested_views:
            return
        self.requested_views.add(view.store.address)
        task = asyncio.get_running_loop().create_task(
            self._async_fetch_view(peer, view)
        )
        self.view_tasks.add(task)
        task.add_done_callback(self.view_tasks.discard)

    async def _async_fetch_view(self, peer: Peer, view: StoreView) -> None:
        """Request the whole view of a store from a VM that polls it."""
        try:
            body = await self.peer_views.async_get(
                peer.host,
                f"{VIEW_PATH}{view.store.address}",
                {},
                VIEW_TIMEOUT_SECONDS,
            )
            if body is not None:
                view.load(decode_view(body), self.clock.monotonic(), peer.vm)
        except (TransportError, ValueInvalidError) as err:
            self.log.write("view not taken", peer=peer.vm, reason=str(err))
        finally:
            self.requested_views.discard(view.store.address)

    def encoded_view(self, address: str) -> bytes | None:
        """Return the view of a store that this VM polls, for another VM."""
        now = self.clock.monotonic()
        view = self.views_by_name.get(address)
        if view is None or view.relay_vm or not view.is_fresh(now):
            return None
        relay = self.relays.setdefault(view.store.address, StoreRelay())
        return encode_view(view, relay.number, now)

    @callback
    def plan(self, job: Job, assignment: Assignment, now: float) -> ContextTransfer:
        """Return the parts that the engine fetches and saves for a job."""
        prompt = job.call.prompt
        if prompt is None or assignment.weight_version is None or len(prompt.parts) < 2:
            return NO_TRANSFER
        scope, homes = assignment.cache_scope, job.homes
        # The last part is the caller's question, which other prompts don't contain.
        options = [
            self._part_options(
                scope, part, assignment.state, homes, now, is_shared=parts_after > 0
            )
            for parts_after, part in zip(
                range(len(prompt.parts) - 1, -1, -1), prompt.parts, strict=True
            )
        ]
        save = self._plan_save(prompt.model, assignment.weight_version, options)
        for part, address in zip(prompt.parts, save, strict=True):
            if address is not None:
                view = self.views[address]
                view.mark_saving(scope, (part,), now)
                self.exchange.record_save(view, (scope, part.name), job, assignment)
        self.exchange.announce_saves(
            [self.views[address] for address in set(save) if address is not None], now
        )
        fetch = plan_fetch(options)
        assignment.fetched_from = frozenset(address for address in fetch if address)
        until = self._fetch_deadline_ms(
            now + assignment.answer_delay, assignment.fetched_from
        )
        return ContextTransfer(
            fetch=fetch,
            save=save,
            fetch_until_ms=until if until is not None else 0,
        )

    def _plan_save(
        self, model: str, version: int, options: list[PartOptions]
    ) -> tuple[Address | None, ...]:
        """Return where parts are saved; parts of old weights are not saved."""
        want = self.wanted.get(model)
        if want is not None and version < want.version:
            return (None,) * len(options)
        return plan_save(options, self.random.random())

    @callback
    def on_first_token(
        self, assignment: Assignment, waited_seconds: float, now: float
    ) -> None:
        """Pause fetches from stores whose fetch was probably discarded as too late.

        An engine discards a fetch that has not ended `FETCH_TIMEOUT_SECONDS` after the
        expected start. A first token that comes later than that indicates a late fetch.

        Parameters
        ----------
        waited_seconds
            Time from the placement of the job to its first token.
        """
        self.exchange.record_first_token(assignment, now)
        if waited_seconds < assignment.answer_delay + FETCH_TIMEOUT_SECONDS:
            return
        for address in assignment.fetched_from:
            view = self.views.get(address)
            if view is not None and now >= view.slow_until:
                view.slow_until = now + SLOW_STORE_PAUSE_SECONDS
                self.log.write(
                    "store of context slow",
                    store=view.store.name,
                    waited_ms=round(waited_seconds * 1000),
                    expected_ms=round(assignment.answer_delay * 1000),
                )

    def _fetch_deadline_ms(
        self, start_at: float, sources: frozenset[Address]
    ) -> int | None:
        """Return the time after which the engine discards fetches of a job.

        The time is by the clock of the engines, as known from any store that reports
        it; ``None`` if no store does. However late the job starts, nothing is read from
        a store that may run anew and be filled again by then.
        """
        views = self.views.values()
        clocks_ms = (view.clock_ms(start_at + FETCH_TIMEOUT_SECONDS) for view in views)
        until_ms = next((found for found in clocks_ms if found is not None), None)
        ends_ms = [
            view.fetches_end_ms for view in views if view.store.address in sources
        ]
        return min(
            (found for found in (until_ms, *ends_ms) if found is not None), default=None
        )

    def _part_options(
        self,
        scope: str,
        part: PromptPart,
        engine: TargetState,
        homes: Homes,
        now: float,
        *,
        is_shared: bool,
    ) -> PartOptions:
        zone = engine.entry.zone
        views = self._views_in(homes)
        return PartOptions(
            part=part,
            is_shared=is_shared,
            is_stored=any(
                view.is_stored_or_saving(scope, part, now)
                or self.exchange.is_saved_elsewhere(view, (scope, part.name))
                for view in views
            ),
            sources=tuple(self._sources(scope, part, engine, homes, now))
            if is_shared
            else (),
            destinations=tuple(
                SaveDestination(
                    address=view.store.address,
                    is_same_zone=view.store.zone == zone,
                    bytes_per_second=view.store.bytes_per_second,
                    free_tokens=view.free_tokens(),
                )
                for view in views
                if view.can_save(now) and self.exchange.may_save(view, now)
            ),
        )

    def _sources(
        self,
        scope: str,
        part: PromptPart,
        engine: TargetState,
        homes: Homes,
        now: float,
    ) -> Iterable[FetchSource]:
        zone = engine.entry.zone
        for state in self._engines_with(engine.entry.service, scope, part, homes, now):
            if state is not engine:
                yield FetchSource(
                    address=state.entry.address,
                    is_same_zone=state.entry.zone == zone,
                    bytes_per_second=ENGINE_LINK_BYTES_PER_SECOND,
                )
        for view in self._views_with(scope, part, homes, now):
            yield FetchSource(
                address=view.store.address,
                is_same_zone=view.store.zone == zone,
                bytes_per_second=view.store.bytes_per_second,
            )

    def _engines_with(
        self, service: str, scope: str, part: PromptPart, homes: Homes, now: float
    ) -> Iterable[TargetState]:
        return (
            state
            for state in self.targets.of_service(service)
            if state.cache.has(scope, part)
            and state.entry.zone not in self.evacuated_zones
            and self.regions.is_home(state.entry.zone, homes)
            and not state.is_unreachable(now)
            and not state.is_stalled(now)
        )

    def _views_in(self, homes: Homes) -> list[StoreView]:
        """Return the stores that may keep the context of a call."""
        return [
            view
            for view in self.views.values()
            if self.regions.is_home(view.store.zone, homes)
        ]

    def _views_with(
        self, scope: str, part: PromptPart, homes: Homes, now: float
    ) -> Iterable[StoreView]:
        return (
            view
            for view in self._views_in(homes)
            if view.can_fetch_part(scope, part, now)
        )

    def fetchable_prefix_parts(
        self,
        service: str,
        scope: str,
        parts: Iterable[PromptPart],
        homes: Homes,
        now: float,
    ) -> int:
        """Return how many leading parts an engine could fetch rather than compute."""
        count = 0
        for part in parts:
            if not any(self._views_with(scope, part, homes, now)) and not any(
                self._engines_with(service, scope, part, homes, now)
            ):
                break
            count += 1
        return count
