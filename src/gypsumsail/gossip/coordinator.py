"""Tells the other VMs what this one knows, and takes what they tell."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
import random
from typing import TypeVar

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.gateway.job import Job, Place
from gypsumsail.gateway.strikes import StrikeBook
from gypsumsail.gateway.targets import PeerLoad, TargetState, TargetTable
from gypsumsail.gossip.const import CATCH_UP_SECONDS, NEWS_IN_A_MESSAGE
from gypsumsail.gossip.endpoint import GossipEndpoint
from gypsumsail.gossip.messages import (
    CachedPrompt,
    GossipMessage,
    LoadingTarget,
    SeenWeights,
    Strike,
    TargetLoad,
)
from gypsumsail.gossip.peers import Peer, PeerTable

_NewsT = TypeVar("_NewsT")

REPEATED_SENDS = 3
"""Messages in which each piece of news stands, as datagrams may be lost."""


class GossipCoordinator:
    """The gossip of one VM.

    Attributes
    ----------
    changed_at
        Revision of the newest change that this VM knows, by kind.
    """

    def __init__(
        self,
        vm: str,
        host: str,
        port: int,
        peers: PeerTable,
        targets: TargetTable,
        strikes: StrikeBook,
        clock: Clock,
        changed_at: Callable[[], Mapping[str, int]],
    ) -> None:
        self.vm = vm
        self.host = host
        self.port = port
        self.peers = peers
        self.targets = targets
        self.strikes = strikes
        self.clock = clock
        self.changed_at = changed_at
        self.endpoint = GossipEndpoint(self.take)
        self.started_at = int(clock.wall() * 1000)
        self.number = 0
        self.sent_at = 0.0
        self.random = random.Random()
        self.cached: deque[CachedPrompt] = deque(maxlen=256)
        self.strike_news: list[tuple[Strike, int]] = []
        self.loading_news: list[tuple[LoadingTarget, int]] = []
        self.weight_news: list[tuple[SeenWeights, int]] = []

    async def async_start(self) -> None:
        """Listen for messages."""
        await self.endpoint.async_start(self.host, self.port)

    @callback
    def stop(self) -> None:
        """Close the socket."""
        self.endpoint.stop()

    @callback
    def first_token(self, job: Job, place: Place, now: float) -> None:
        """Tell that an engine has read a prompt."""
        prompt = job.call.prompt
        if prompt is None or not prompt.parts:
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
        self.send(self.clock.monotonic())

    @callback
    def weights(self, state: TargetState, model: str, version: int) -> None:
        """Tell which weights an engine has shown."""
        entry = state.entry
        news = SeenWeights(
            target=entry.name, life=entry.life, model=model, version=version
        )
        self.weight_news.append((news, REPEATED_SENDS))
        self.send(self.clock.monotonic())

    @callback
    def tick(self, now: float) -> None:
        """Send when a message is due."""
        if now - self.sent_at >= self.peers.interval(now):
            self.send(now)

    @callback
    def send(self, now: float) -> None:
        """Send one message to all VMs that are due."""
        self.sent_at = now
        due = self.peers.due(now)
        if not due:
            return
        self.number += 1
        for peer in due:
            peer.sent_at = now
        message = self._message(now)
        self.endpoint.send(message, [(peer.host, self.port) for peer in due])

    def _message(self, now: float) -> GossipMessage:
        for fingerprint, target, life in self.strikes.take_news(NEWS_IN_A_MESSAGE):
            strike = Strike(fingerprint=fingerprint, target=target, life=life)
            self.strike_news.append((strike, REPEATED_SENDS))
        cached = [
            self.cached.popleft()
            for _ in range(min(len(self.cached), NEWS_IN_A_MESSAGE))
        ]
        return GossipMessage(
            vm=self.vm,
            host=self.host,
            started_at=self.started_at,
            number=self.number,
            changed_at=tuple(self.changed_at().items()),
            loads=tuple(
                _load(state) for state in self.targets.states.values() if state.flights
            ),
            cached=tuple(cached),
            strikes=_take(self.strike_news),
            loading=_take(self.loading_news),
            weights=_take(self.weight_news),
            hosts=self.peers.some_hosts(self.random, now),
        )

    @callback
    def take(self, message: GossipMessage) -> None:
        """Take a message of another VM."""
        now = self.clock.monotonic()
        peer = self.peers.heard(message, now)
        if peer is None:
            return
        self._take_loads(message, now)
        for item in message.cached:
            state = self._state(item.target, item.life)
            if state is not None:
                state.cache.add(item.scope, item.parts, state.tokens(now))
        for strike in message.strikes:
            self.strikes.learn(strike.fingerprint, strike.target, strike.life)
        for loading in message.loading:
            state = self._state(loading.target, loading.life)
            if state is not None:
                state.expect_load(now)
        for seen in message.weights:
            state = self._state(seen.target, seen.life)
            if state is not None:
                state.learn_version(seen.model, seen.version, now)
        self._compare(peer, message, now)

    def _take_loads(self, message: GossipMessage, now: float) -> None:
        loads = {(load.target, load.life): load for load in message.loads}
        for state in self.targets.states.values():
            load = loads.get((state.entry.name, state.entry.life))
            if load is None:
                state.peers.pop(message.vm, None)
                continue
            state.peers[message.vm] = PeerLoad(
                calls=load.calls, tokens=load.tokens, unread=load.unread, at=now
            )

    def _compare(self, peer: Peer, message: GossipMessage, now: float) -> None:
        known = self.changed_at()
        is_ahead = any(
            revision > known.get(kind, 0) for kind, revision in message.changed_at
        )
        if not is_ahead:
            peer.ahead_since = None
        elif peer.ahead_since is None:
            peer.ahead_since = now

    def peer_to_ask(self, now: float) -> Peer | None:
        """Return a VM that has known more than this one for a while."""
        ahead = [
            peer
            for peer in self.peers.alive(now)
            if peer.ahead_since is not None
            and now - peer.ahead_since >= CATCH_UP_SECONDS
        ]
        return self.random.choice(ahead) if ahead else None

    def _state(self, target: str, life: int) -> TargetState | None:
        state = self.targets.states.get(target)
        return state if state is not None and state.entry.life == life else None


def _load(state: TargetState) -> TargetLoad:
    flights = state.flights.values()
    return TargetLoad(
        target=state.entry.name,
        life=state.entry.life,
        calls=len(flights),
        tokens=sum(flight.tokens for flight in flights),
        unread=sum(flight.unread for flight in flights),
    )


def _take(news: list[tuple[_NewsT, int]]) -> tuple[_NewsT, ...]:
    """Return some news, and keep those that are to be sent again."""
    taken = news[:NEWS_IN_A_MESSAGE]
    del news[:NEWS_IN_A_MESSAGE]
    news.extend((item, left - 1) for item, left in taken if left > 1)
    return tuple(item for item, _ in taken)
