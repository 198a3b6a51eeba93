"""Tells the other VMs what this one knows, and takes what they tell."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace
import random
from typing import TypeVar

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.gateway.arrivals import RemoteLoad
from gypsumsail.gateway.const import PEER_LOAD_MAX_AGE_SECONDS
from gypsumsail.gateway.crash_suspects import CrashSuspectTracker
from gypsumsail.gateway.job import Assignment, Job
from gypsumsail.gateway.models import TargetEntry
from gypsumsail.gateway.targets import PeerLoad, TargetState, TargetTable
from gypsumsail.gossip.const import (
    CATCH_UP_SECONDS,
    NEWS_IN_A_MESSAGE,
    STORE_CHANGES_IN_A_MESSAGE,
    UNCHANGED_INTERVAL_SECONDS,
    UNREACHABLE_IN_A_MESSAGE,
)
from gypsumsail.gossip.endpoint import GossipEndpoint
from gypsumsail.gossip.messages import (
    CachedPrompt,
    GoneTarget,
    GossipMessage,
    LoadingTarget,
    SeenWeights,
    StoreNews,
    Strike,
    TargetLoad,
    UnreachableTarget,
    WaitingWork,
)
from gypsumsail.gossip.peers import Peer, PeerTable

_NewsT = TypeVar("_NewsT")

MILLISECONDS = 1000.0
REPEATED_SENDS = 3
"""Messages in which each piece of news stands, as datagrams may be lost."""


class GossipCoordinator:
    """The gossip of one VM.

    In a fleet of more than a few VMs those of one zone tell each other all, and
    those of other zones hear of loads at a lower rate.

    Attributes
    ----------
    changed_at
        Revision of the newest change that this VM knows, by kind.
    own_waiting
        Says which work waits on this VM.
    is_watching
        Whether this VM watches a kind at the platform's store itself.
    on_store_news
        Called with what another VM has learned of a store of kept context.
    on_gone
        Called with a target, and its life, whose removal another VM saw.
    loaded, unreachable
        Targets at which each VM has calls, and those that it can't reach.
    """

    def __init__(
        self,
        port: int,
        peers: PeerTable,
        targets: TargetTable,
        strikes: CrashSuspectTracker,
        clock: Clock,
        changed_at: Callable[[], Mapping[str, int]],
        is_watching: Callable[[str], bool],
        on_store_news: Callable[[Peer, StoreNews], None],
    ) -> None:
        self.port = port
        self.peers = peers
        self.targets = targets
        self.strikes = strikes
        self.clock = clock
        self.changed_at = changed_at
        self.is_watching = is_watching
        self.on_store_news = on_store_news
        self.endpoint = GossipEndpoint(self.take)
        self.started_at = int(clock.wall() * 1000)
        self.number = 0
        self.last_said: GossipMessage | None = None
        self.last_changed_at: Mapping[str, int] = {}
        self.random = random.Random()
        self.own_waiting: Callable[[], tuple[WaitingWork, ...]] = tuple
        self.waiting: dict[str, tuple[float, tuple[WaitingWork, ...]]] = {}
        self.cached: deque[CachedPrompt] = deque(maxlen=256)
        self.store_news: deque[StoreNews] = deque(maxlen=512)
        self.strike_news: list[tuple[Strike, int]] = []
        self.loading_news: list[tuple[LoadingTarget, int]] = []
        self.weight_news: list[tuple[SeenWeights, int]] = []
        self.gone_news: list[tuple[GoneTarget, int]] = []
        self.on_gone: Callable[[str, int], None] = lambda target, life: None
        self.loaded: dict[str, list[TargetState]] = {}
        self.unreachable: dict[str, list[TargetState]] = {}

    async def async_start(self) -> None:
        """Listen for messages."""
        await self.endpoint.async_start(self.peers.host, self.port)

    @callback
    def stop(self) -> None:
        """Close the socket."""
        self.endpoint.stop()

    @callback
    def first_token(self, job: Job, place: Assignment, now: float) -> None:
        """Tell that an engine has read a prompt."""
        prompt = job.call.prompt
        if prompt is None or len(prompt.parts) < 2:
            return
        entry = place.state.entry
        self.cached.append(
            CachedPrompt(
                target=entry.name,
                life=entry.life,
                scope=place.cache_scope,
                parts=prompt.parts[:-1],
            )
        )

    @callback
    def loading(self, state: TargetState) -> None:
        """Tell that an engine is about to load other weights."""
        entry = state.entry
        news = LoadingTarget(target=entry.name, life=entry.life)
        self.loading_news.append((news, REPEATED_SENDS))
        self.send_to_all(self.clock.monotonic())

    @callback
    def weights(self, state: TargetState, model: str, version: int) -> None:
        """Tell which weights an engine has shown."""
        entry = state.entry
        news = SeenWeights(
            target=entry.name, life=entry.life, model=model, version=version
        )
        self.weight_news.append((news, REPEATED_SENDS))
        self.send_to_all(self.clock.monotonic())

    @callback
    def seen_gone(self, entry: TargetEntry) -> None:
        """Tell that a target's removal was seen while the store was well."""
        news = GoneTarget(target=entry.name, life=entry.life)
        self.gone_news.append((news, REPEATED_SENDS))

    @callback
    def tell_store_news(self, news: StoreNews) -> None:
        """Tell the near VMs what a store of kept context holds."""
        self.store_news.append(news)

    @callback
    def tick(self, now: float) -> None:
        """Send what is due."""
        changed_at = self.changed_at()
        if changed_at != self.last_changed_at:
            self.last_changed_at = dict(changed_at)
            self.send_to_all(now)
            return
        near, far = self.peers.split(now)
        due_near = self.peers.due(near, self.peers.near_interval(now), now)
        due_far = self.peers.due(far, self.peers.far_interval(now), now)
        if due_near or due_far:
            self._send(due_near, due_far, now, must_say=False)

    @callback
    def send_to_all(self, now: float) -> None:
        """Send to all VMs at once."""
        near, far = self.peers.split(now)
        self._send(near, far, now, must_say=True)

    def _send(
        self, near: list[Peer], far: list[Peer], now: float, *, must_say: bool
    ) -> None:
        message = self._message(now, tells_all=bool(near))
        said = replace(message, number=0, hosts=())
        if not must_say and said == self.last_said:
            limit = now - UNCHANGED_INTERVAL_SECONDS
            near = [peer for peer in near if (peer.sent_at or 0.0) <= limit]
            far = [peer for peer in far if (peer.sent_at or 0.0) <= limit]
        self.last_said = said
        for peer in (*near, *far):
            peer.sent_at = now
        self.endpoint.send(message, [(peer.host, self.port) for peer in near])
        if far:
            less = replace(message, cached=(), stores=(), unreachable=())
            self.endpoint.send(less, [(peer.host, self.port) for peer in far])

    def _message(self, now: float, *, tells_all: bool) -> GossipMessage:
        for fingerprint, target, life in self.strikes.take_unsent(NEWS_IN_A_MESSAGE):
            strike = Strike(fingerprint=fingerprint, target=target, life=life)
            self.strike_news.append((strike, REPEATED_SENDS))
        self.number += 1
        return GossipMessage(
            vm=self.peers.vm,
            host=self.peers.host,
            zone=self.peers.zone,
            started_at=self.started_at,
            number=self.number,
            changed_at=tuple(self.changed_at().items()),
            loads=tuple(
                _load(state, now)
                for state in self.targets.states.values()
                if state.in_flight
            ),
            cached=self._cached() if tells_all else (),
            strikes=_take(self.strike_news),
            loading=_take(self.loading_news),
            weights=_take(self.weight_news),
            hosts=self.peers.some_hosts(self.random, now),
            stores=self._stores() if tells_all else (),
            waiting=self.own_waiting(),
            unreachable=self._unreachable() if tells_all else (),
            gone=_take(self.gone_news),
        )

    def work_elsewhere(self, service: str, now: float) -> RemoteLoad:
        """Return what other VMs have for the targets of a service."""
        found = [
            item
            for at, items in self.waiting.values()
            if now - at < PEER_LOAD_MAX_AGE_SECONDS
            for item in items
            if item.service == service
        ]
        return RemoteLoad(
            waiting_seconds=sum(item.work_ms for item in found) / MILLISECONDS,
            offered_load=sum(item.arriving_ms for item in found) / MILLISECONDS,
        )

    def _unreachable(self) -> tuple[UnreachableTarget, ...]:
        found = [
            UnreachableTarget(target=state.entry.name, life=state.entry.life)
            for state in self.targets.states.values()
            if state.needs_check
        ]
        return tuple(found[:UNREACHABLE_IN_A_MESSAGE])

    def _cached(self) -> tuple[CachedPrompt, ...]:
        count = min(len(self.cached), NEWS_IN_A_MESSAGE)
        return tuple(self.cached.popleft() for _ in range(count))

    def _stores(self) -> tuple[StoreNews, ...]:
        taken: list[StoreNews] = []
        room = STORE_CHANGES_IN_A_MESSAGE
        while self.store_news and room > 0:
            news = self.store_news.popleft()
            room -= len(news.changes) + 1
            taken.append(news)
        return tuple(taken)

    @callback
    def take(self, message: GossipMessage) -> None:
        """Take a message of another VM."""
        now = self.clock.monotonic()
        peer = self.peers.heard(message, now)
        if peer is None:
            return
        self._take_loads(message, now)
        if peer.zone == self.peers.zone:
            self._take_unreachable(message, now)
        self.waiting[message.vm] = (now, message.waiting)
        for item in message.cached:
            state = self._state(item.target, item.life)
            if state is not None:
                state.cache.add(item.scope, item.parts, state.tokens(now))
        for strike in message.strikes:
            self.strikes.record(strike.fingerprint, strike.target, strike.life)
        for loading in message.loading:
            state = self._state(loading.target, loading.life)
            if state is not None:
                state.expect_load(now)
        for seen in message.weights:
            state = self._state(seen.target, seen.life)
            if state is not None:
                state.learn_version(seen.model, seen.version, now)
        for gone in message.gone:
            self.on_gone(gone.target, gone.life)
        for news in message.stores:
            self.on_store_news(peer, news)
        self._compare(peer, message, now)

    def _take_loads(self, message: GossipMessage, now: float) -> None:
        for before in self.loaded.get(message.vm, ()):
            before.peers.pop(message.vm, None)
        found = []
        for load in message.loads:
            state = self._state(load.target, load.life)
            if state is None:
                continue
            found.append(state)
            state.peers[message.vm] = PeerLoad(
                calls=load.calls,
                tokens=load.tokens,
                pending_prefill_tokens=load.unread,
                at=now,
                is_stalled=load.is_stalled,
            )
        self.loaded[message.vm] = found

    def _take_unreachable(self, message: GossipMessage, now: float) -> None:
        """Take which targets another VM of this zone can't connect."""
        for state in self.unreachable.pop(message.vm, ()):
            state.unreachable_reports.pop(message.vm, None)
        if not message.unreachable:
            return
        named = [self._state(item.target, item.life) for item in message.unreachable]
        found = [state for state in named if state is not None]
        for state in found:
            state.unreachable_reports[message.vm] = now
        self.unreachable[message.vm] = found

    def _compare(self, peer: Peer, message: GossipMessage, now: float) -> None:
        if not self._behind(message.changed_at):
            peer.ahead_since = None
        elif peer.ahead_since is None:
            peer.ahead_since = now

    def _behind(self, changed_at: tuple[tuple[str, int], ...]) -> bool:
        known = self.changed_at()
        return any(revision > known.get(kind, 0) for kind, revision in changed_at)

    def peer_to_ask(self, now: float) -> Peer | None:
        """Return a VM that knows more than this one, of this zone if there is one.

        A VM that watches the store itself gives it some time to tell.
        """
        patience = CATCH_UP_SECONDS if self._watches_all() else 0.0
        ahead = [
            peer
            for peer in self.peers.alive(now)
            if peer.ahead_since is not None and now - peer.ahead_since >= patience
        ]
        near = [peer for peer in ahead if peer.zone == self.peers.zone]
        return self.random.choice(near or ahead) if ahead else None

    def _watches_all(self) -> bool:
        return all(self.is_watching(kind) for kind in self.changed_at())

    def _state(self, target: str, life: int) -> TargetState | None:
        state = self.targets.states.get(target)
        return state if state is not None and state.entry.life == life else None


def _load(state: TargetState, now: float) -> TargetLoad:
    flights = state.in_flight.values()
    return TargetLoad(
        target=state.entry.name,
        life=state.entry.life,
        calls=len(flights),
        tokens=sum(flight.tokens for flight in flights),
        unread=sum(flight.pending_prefill_tokens for flight in flights),
        is_stalled=state.is_stalled_locally(now),
    )


def _take(news: list[tuple[_NewsT, int]]) -> tuple[_NewsT, ...]:
    """Return some news, and keep those that are to be sent again."""
    taken = news[:NEWS_IN_A_MESSAGE]
    del news[:NEWS_IN_A_MESSAGE]
    news.extend((item, left - 1) for item, left in taken if left > 1)
    return tuple(item for item, _ in taken)
