"""Event loop with virtual time, and in-memory links between entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping
import selectors
from typing import Any, TypeVar

from gypsumsail.core.errors import TransportError
from gypsumsail.peers.codec import dump, load, name_of, pack_message, unpack_message
from gypsumsail.peers.errors import OtherEntryError
from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.port import EntryId, Handler, Message

ONE_WAY_LATENCY_SECONDS = 0.002
CONNECT_TIMEOUT_SECONDS = 3.0
_ResultT = TypeVar("_ResultT")
_MessageT = TypeVar("_MessageT", bound=Message)


class _Selector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting."""

    now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, which advances only when no task can run.

    Hours of virtual time take milliseconds, and the order of events is deterministic.
    """

    def __init__(self) -> None:
        self.virtual_selector = _Selector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.now


class LoopClock:
    """Clock that returns the time of the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.monotonic()


def run_virtual(main: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


class Hub:
    """Connects in-memory networks.

    Attributes
    ----------
    cuts
        Pairs of entry names; messages from the first do not reach the second.
    """

    def __init__(self) -> None:
        self.networks: dict[str, HubNetwork] = {}
        self.cuts: set[tuple[str, str]] = set()

    def add(self, entry: EntryId, *, peer_url: str = "") -> HubNetwork:
        url = peer_url or f"ws://{entry.name}"
        self.networks[url] = HubNetwork(self, Identity(entry=entry, peer_url=url))
        return self.networks[url]

    def kill(self, network: HubNetwork) -> None:
        if self.networks.get(network.identity.peer_url) is network:
            del self.networks[network.identity.peer_url]

    def cut(self, names: set[str], other_names: set[str]) -> None:
        """Drop all messages between two sets of entries."""
        pairs = {(one, two) for one in names for two in other_names}
        self.cuts |= pairs | {(two, one) for one, two in pairs}


class HubNetwork:
    """In-memory network of one entry; messages pass through the real codec."""

    def __init__(self, hub: Hub, identity: Identity) -> None:
        self.hub = hub
        self.identity = identity
        self.addresses: dict[EntryId, str] = {}
        self.handlers: dict[type[Message], list[Handler[Any]]] = {}
        self.connected_listeners: list[Callable[[Identity], None]] = []
        self.linked: dict[EntryId, str] = {}
        self.sent: list[str] = []

    def peers(self) -> tuple[EntryId, ...]:
        return tuple(self.addresses)

    def set_addresses(self, addresses: Mapping[EntryId, str]) -> None:
        self.addresses = dict(addresses)

    def subscribe_connected(
        self, listener: Callable[[Identity], None]
    ) -> Callable[[], None]:
        self.connected_listeners.append(listener)
        return lambda: self.connected_listeners.remove(listener)

    def subscribe(
        self, message_type: type[_MessageT], handler: Handler[_MessageT]
    ) -> Callable[[], None]:
        handlers = self.handlers.setdefault(message_type, [])
        handlers.append(handler)
        return lambda: handlers.remove(handler)

    async def async_connect(self, peer_url: str) -> EntryId:
        other = self.hub.networks.get(peer_url)
        if other is None:
            raise TransportError("no network at this address", sent=False)
        names = (self.identity.entry.name, other.identity.entry.name)
        if names in self.hub.cuts or names[::-1] in self.hub.cuts:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise TransportError("connect timed out", sent=False)
        await asyncio.sleep(ONE_WAY_LATENCY_SECONDS)
        if other.identity.entry not in self.linked:
            self.linked[other.identity.entry] = peer_url
            other.linked[self.identity.entry] = self.identity.peer_url
            self._notify_connected(other.identity)
            other._notify_connected(self.identity)
        return other.identity.entry

    async def async_send(self, peer: EntryId, message: Message) -> None:
        target = await self._async_find(peer)
        self.sent.append(name_of(type(message)))
        if (self.identity.entry.name, peer.name) not in self.hub.cuts:
            await target._async_handle(self.identity.entry, _copy(message))

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        try:
            async with asyncio.timeout(timeout):
                return await self._async_ask(peer, message)
        except TimeoutError as error:
            raise TransportError("no response", sent=True) from error

    async def _async_ask(self, peer: EntryId, message: Message) -> Message:
        target = await self._async_find(peer)
        names = (self.identity.entry.name, peer.name)
        self.sent.append(name_of(type(message)))
        await asyncio.sleep(ONE_WAY_LATENCY_SECONDS)
        if names in self.hub.cuts:
            await asyncio.Event().wait()
        answer = await target._async_handle(self.identity.entry, _copy(message))
        await asyncio.sleep(ONE_WAY_LATENCY_SECONDS)
        if names[::-1] in self.hub.cuts:
            await asyncio.Event().wait()
        if answer is None:
            raise TransportError("no response", sent=True)
        return _copy(answer)

    async def _async_find(self, peer: EntryId) -> HubNetwork:
        url = self.addresses.get(peer) or self.linked.get(peer, "")
        target = self.hub.networks.get(url)
        if target is None:
            raise TransportError("no network at this address", sent=False)
        if target.identity.entry != peer:
            found = await self.async_connect(url)
            raise OtherEntryError("another entry answers", found=found)
        return target

    async def _async_handle(self, peer: EntryId, message: Message) -> Message | None:
        # Returns the first response; the websocket network returns the last one.
        for handler in self.handlers.get(type(message), ()):
            answer = await handler(peer, message)
            if answer is not None:
                return answer
        return None

    def _notify_connected(self, identity: Identity) -> None:
        for listener in tuple(self.connected_listeners):
            listener(identity)


def _copy(message: Message) -> Message:
    packed = load(dump(pack_message(message)))
    assert isinstance(packed, list)
    return unpack_message(*packed)
