"""Builders, and fakes of the object API and of the peer network."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import random
from typing import Any, TypeVar

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError, UnavailableError
from gypsumsail.object_api.port import ConflictError, Listing, ObjectApi, PlatformObject
from gypsumsail.once.coordinator import AtMostOnceCoordinator
from gypsumsail.once.models import AtMostOnceRequest
from gypsumsail.peers.codec import pack_message, unpack_message
from gypsumsail.peers.port import EntryId, Handler, Message
from tests.common import EventLog

_MessageT = TypeVar("_MessageT", bound=Message)


@dataclass(slots=True, kw_only=True)
class FakeObjectApi:
    """In-memory object API with injected faults.

    Attributes
    ----------
    lost_answers
        Number of next writes that take effect but whose response is lost.
    late_writes
        Number of next writes that fail and may take effect when ``release_late``
        is called.
    called
        Event that each call sets.
    stale
        Objects that reads of their keys return instead of the stored ones.
    stale_listings
        Number of next listings that return ``snapshot`` instead of the stored
        objects.
    """

    latency: float = 0.0
    outage: bool = False
    hanging: bool = False
    lost_answers: int = 0
    late_writes: int = 0
    stale_listings: int = 0
    objects: dict[str, PlatformObject] = field(default_factory=dict)
    snapshot: dict[str, PlatformObject] = field(default_factory=dict)
    stale: dict[str, PlatformObject] = field(default_factory=dict)
    late: list[tuple[str, bytes, int]] = field(default_factory=list)
    called: asyncio.Event = field(default_factory=asyncio.Event)
    revision: int = 0
    reads: int = 0
    writes: int = 0

    async def _async_call(self) -> None:
        self.called.set()
        if self.latency:
            await asyncio.sleep(self.latency)
        if self.hanging:
            await asyncio.Event().wait()
        if self.outage:
            raise UnavailableError("outage", sent=True)

    async def async_get(self, key: str) -> PlatformObject | None:
        self.reads += 1
        await self._async_call()
        return self.stale.get(key) or self.objects.get(key)

    async def async_list(self, prefix: str) -> Listing:
        self.reads += 1
        await self._async_call()
        objects = self.objects
        if self.stale_listings:
            self.stale_listings -= 1
            objects = self.snapshot
        found = tuple(item for key, item in objects.items() if key.startswith(prefix))
        return Listing(objects=found, revision=self.revision)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        self.writes += 1
        await self._async_call()
        if self.late_writes:
            self.late_writes -= 1
            self.late.append((key, value, if_version))
            raise TransportError("no answer", sent=True)
        version = self.apply(key, value, if_version)
        if self.lost_answers:
            self.lost_answers -= 1
            raise TransportError("answer lost", sent=True)
        return version

    async def async_delete(self, key: str, *, if_version: int) -> None:
        self.writes += 1
        await self._async_call()
        self._check(key, if_version)
        del self.objects[key]
        self.revision += 1

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        return await self.async_list(prefix)

    def apply(self, key: str, value: bytes, if_version: int) -> int:
        self._check(key, if_version)
        version = if_version + 1
        self.objects[key] = PlatformObject(key=key, version=version, value=value)
        self.revision += 1
        return version

    def _check(self, key: str, if_version: int) -> None:
        found = self.objects.get(key)
        current = found.version if found else 0
        if current != if_version:
            raise ConflictError(f"{key} has version {current}", current=current)

    def release_late(self) -> int:
        """Apply the late writes; return how many took effect."""
        applied = 0
        for key, value, if_version in self.late:
            try:
                self.apply(key, value, if_version)
            except ConflictError:
                continue
            applied += 1
        self.late.clear()
        return applied


@dataclass(slots=True)
class FakeFleet:
    """In-process network of entries.

    Attributes
    ----------
    cut
        Pairs of sender and receiver names whose messages are not delivered.
    lose_answers
        Names of entries whose responses are lost.
    """

    handlers: dict[EntryId, dict[type[Message], Handler[Any]]] = field(
        default_factory=dict
    )
    cut: set[tuple[str, str]] = field(default_factory=set)
    lose_answers: set[str] = field(default_factory=set)
    latency: float = 0.0

    def join(self, entry: EntryId) -> FakeNetwork:
        self.handlers[entry] = {}
        return FakeNetwork(fleet=self, entry=entry)

    def leave(self, entry: EntryId) -> None:
        del self.handlers[entry]


@dataclass(slots=True, kw_only=True)
class FakeNetwork:
    """Peer network of one entry."""

    fleet: FakeFleet
    entry: EntryId

    def peers(self) -> tuple[EntryId, ...]:
        return tuple(entry for entry in self.fleet.handlers if entry != self.entry)

    def subscribe(
        self, message_type: type[_MessageT], handler: Handler[_MessageT]
    ) -> Callable[[], None]:
        handlers = self.fleet.handlers[self.entry]
        handlers[message_type] = handler
        return lambda: handlers.pop(message_type, None) and None

    async def async_send(self, peer: EntryId, message: Message) -> None:
        await self.async_request(peer, message, timeout=1.0)

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        handler = self.fleet.handlers.get(peer, {}).get(type(message))
        if handler is None or (self.entry.name, peer.name) in self.fleet.cut:
            raise TransportError("no link", sent=False)
        if self.fleet.latency:
            await asyncio.sleep(self.fleet.latency)
        arrived = unpack_message(*pack_message(message))
        answer: Awaitable[Message | None] = handler(self.entry, arrived)
        result = await answer
        if peer.name in self.fleet.lose_answers or result is None:
            raise TransportError("answer lost", sent=True)
        return result


def entry_id(name: str) -> EntryId:
    return EntryId(name=name, incarnation=f"{name}-1", zone="brest-hall")


def at_most_once_request(key: str | None = "k1", **changes: Any) -> AtMostOnceRequest:
    fields: dict[str, Any] = {
        "customer": "armor-claims",
        "service": "letters",
        "body_digest": b"body",
    }
    return AtMostOnceRequest(key=key, **(fields | changes))


def coordinator(
    api: ObjectApi, fleet: FakeFleet, clock: Clock, name: str
) -> AtMostOnceCoordinator:
    entry = entry_id(name)
    return AtMostOnceCoordinator(
        api, fleet.join(entry), EventLog(), clock, entry, rng=random.Random(7)
    )
