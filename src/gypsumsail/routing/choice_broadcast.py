"""Broadcasts routing choices to the other entries before engines report the load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import EntryId, Message, PeerNetwork
from gypsumsail.routing.const import (
    BROADCAST_INTERVAL_SECONDS,
    MAX_BROADCAST_PEERS,
    PEER_WORK_LIFETIME_SECONDS,
    PRIORITY_LEVELS,
)
from gypsumsail.routing.loads import EngineLoads, SentWork

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceRow:
    """One request that an entry has sent to a target.

    Attributes
    ----------
    tokens
        Prompt tokens that the engine is expected to compute.
    age
        Seconds since the request was sent.
    """

    target: str
    tokens: int
    priority: int
    age: float

    def __post_init__(self) -> None:
        if not 0 <= self.priority < PRIORITY_LEVELS or self.tokens < 0 or self.age < 0:
            raise ValueError(
                "priority, tokens or age of a routing choice is out of range"
            )


@message("routing.choices")
@dataclass(frozen=True, slots=True, kw_only=True)
class ChoicesMade(Message):
    """Requests that the sender has routed since its previous message."""

    rows: tuple[ChoiceRow, ...]


class ChoiceBroadcaster:
    """Sends this entry's choices to its peers and adds theirs to the engine loads.

    Nothing is broadcast with more than `MAX_BROADCAST_PEERS` peers, because the
    messages would then cost more than they help: each entry sends only a small share of
    the load, and random sampling alone keeps entries from choosing the same engine.
    """

    def __init__(self, network: PeerNetwork, loads: EngineLoads, clock: Clock) -> None:
        self.network = network
        self.loads = loads
        self.clock = clock
        self._unsubscribe: Callable[[], None] | None = None
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Subscribe to choices of peers and start broadcasting."""
        self._unsubscribe = self.network.subscribe(ChoicesMade, self._async_on_choices)
        self._task = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Unsubscribe and stop broadcasting."""
        if self._unsubscribe is not None:
            self._unsubscribe()
            self._unsubscribe = None
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(BROADCAST_INTERVAL_SECONDS)
            await self.async_broadcast()

    async def async_broadcast(self) -> None:
        """Send the choices made since the previous broadcast to all peers."""
        choices = self._drain_pending()
        peers = self.network.peers()
        if choices is None or len(peers) > MAX_BROADCAST_PEERS:
            return
        for peer in peers:
            try:
                await self.network.async_send(peer, choices)
            except TransportError as error:
                _LOGGER.debug(
                    "Could not send routing choices to %s: %s", peer.name, error
                )

    def _drain_pending(self) -> ChoicesMade | None:
        if not self.loads.pending_choices:
            return None
        now = self.clock.monotonic()
        rows = tuple(
            ChoiceRow(
                target=sent.target,
                tokens=sent.work.tokens,
                priority=sent.work.priority,
                age=max(now - sent.work.sent_at, 0.0),
            )
            for sent in self.loads.pending_choices
        )
        self.loads.pending_choices.clear()
        return ChoicesMade(rows=rows)

    async def _async_on_choices(self, _peer: EntryId, message: ChoicesMade) -> None:
        now = self.clock.monotonic()
        for row in message.rows:
            if row.age > PEER_WORK_LIFETIME_SECONDS:
                continue
            work = SentWork(
                tokens=row.tokens,
                tokens_ahead=0.0,
                priority=row.priority,
                sent_at=now - row.age,
            )
            self.loads.on_peer_sent(row.target, work)
