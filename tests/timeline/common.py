"""Helpers and fakes for the timeline tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ConflictError, Listing, PlatformObject
from gypsumsail.peers.port import EntryId, Message
from gypsumsail.timeline.models import Event, EventKind
from gypsumsail.timeline.records import ProcessId


class FakeClock:
    """Clock whose time is set by the test."""

    def __init__(self, wall: float = 1_000.0) -> None:
        self.now = wall

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now


def process_id(name: str = "entry-1") -> ProcessId:
    """Return the id of a process with a single incarnation."""
    return ProcessId(name=name, incarnation=f"{name}-run")


def accepted_event(request_id: str = "r1", customer: str = "armor") -> Event:
    """Return the event of an accepted request."""
    return Event(
        kind=EventKind.REQUEST_ACCEPTED, request_id=request_id, customer=customer
    )


class FakeObjectApi:
    """In-memory object API whose calls can be made to fail.

    Attributes
    ----------
    lose_answers
        Number of the next writes that succeed but whose response is lost.
    unavailable
        Whether all calls fail before the request is sent.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, bytes]] = {}
        self.lose_answers = 0
        self.unavailable = False

    def raise_if_unavailable(self) -> None:
        """Raise an error when the platform is unavailable."""
        if self.unavailable:
            raise TransportError("unavailable", sent=False)

    async def async_get(self, key: str) -> PlatformObject | None:
        """Return an object."""
        self.raise_if_unavailable()
        if key not in self.values:
            return None
        version, value = self.values[key]
        return PlatformObject(key=key, version=version, value=value)

    async def async_list(self, prefix: str) -> Listing:
        """Return the objects under a prefix."""
        self.raise_if_unavailable()
        objects = [
            PlatformObject(key=key, version=version, value=value)
            for key, (version, value) in self.values.items()
            if key.startswith(prefix)
        ]
        return Listing(objects=tuple(objects), revision=0)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write an object."""
        self.raise_if_unavailable()
        current = self.values.get(key, (0, b""))[0]
        if current != if_version:
            raise ConflictError("conflict", current=current)
        self.values[key] = (current + 1, value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise TransportError("answer lost", sent=True)
        return current + 1

    async def async_delete(self, key: str, *, if_version: int) -> None:
        """Delete an object."""
        self.raise_if_unavailable()
        del self.values[key]

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        """Not used here."""
        raise NotImplementedError


class FakePeers:
    """In-process peer network between the archivers of one zone."""

    def __init__(self, own: EntryId, network: dict[str, FakePeers]) -> None:
        self.own = own
        self.network = network
        self.handler: Any = None
        self.unreachable = False
        network[own.name] = self

    def peers(self) -> tuple[EntryId, ...]:
        """Return the other entries."""
        others = [peer.own for peer in self.network.values() if peer is not self]
        return tuple(others)

    def subscribe(self, message_type: Any, handler: Any) -> Callable[[], None]:
        """Set the single handler."""
        self.handler = handler
        return lambda: None

    async def async_send(self, peer: EntryId, message: Message) -> None:
        """Not used here."""
        raise NotImplementedError

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        """Call the handler of the peer."""
        other = self.network[peer.name]
        if other.unreachable:
            raise TransportError("unreachable", sent=True)
        answer = await other.handler(self.own, message)
        assert isinstance(answer, Message)
        return answer
