"""Links to the other entries over websockets, opened on demand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
import logging
from typing import Any, TypeVar

from websockets.asyncio.server import Server, ServerConnection, serve

from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.peers.codec import name_of
from gypsumsail.peers.const import (
    CLOSE_TIMEOUT_SECONDS,
    IDLE_CHECK_SECONDS,
    LINK_IDLE_SECONDS,
    LINK_REUSE_SECONDS,
    MAX_HANDSHAKE_BYTES,
    MIN_SECRET_BYTES,
)
from gypsumsail.peers.diagnostics import PeerCounters
from gypsumsail.peers.dialing import (
    AuthenticatedConnection,
    async_authenticate_incoming,
    async_dial,
)
from gypsumsail.peers.errors import HandshakeError, OtherEntryError
from gypsumsail.peers.handshake import Identity
from gypsumsail.peers.hybrid_clock import HybridClock, NullHybridClock
from gypsumsail.peers.link import Link
from gypsumsail.peers.port import EntryId, Handler, Message

_LOGGER = logging.getLogger(__name__)
_MessageT = TypeVar("_MessageT", bound=Message)


class WebsocketPeerNetwork:
    """Manages the links of one entry.

    Attributes
    ----------
    entry
        Identity of the running process of this entry.
    peer_url
        Address at which this entry accepts links; set by ``async_setup`` unless a
        public URL is given.
    addresses
        Addresses of the entries that membership considers alive.
    hybrid_clock
        Hybrid logical clock whose timestamps are sent with all frames.
    """

    def __init__(
        self,
        entry: EntryId,
        *,
        secret: bytes,
        host: str,
        port: int,
        clock: Clock,
        public_url: str = "",
        hybrid_clock: HybridClock | None = None,
    ) -> None:
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(f"peer secret is shorter than {MIN_SECRET_BYTES} bytes")
        self.entry = entry
        self.secret = secret
        self.host = host
        self.port = port
        self.clock = clock
        self.peer_url = public_url
        self.counters = PeerCounters()
        self.hybrid_clock = hybrid_clock or NullHybridClock()
        self.addresses: dict[EntryId, str] = {}
        self.links: dict[EntryId, list[Link]] = {}
        self.handlers: dict[type[Message], list[Handler[Any]]] = {}
        self.connected_listeners: list[Callable[[Identity], None]] = []
        self._opening: dict[str, asyncio.Task[Link]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None

    async def async_setup(self) -> None:
        """Start to accept links and to close idle ones."""
        self._server = await serve(
            self._async_serve,
            self.host,
            self.port,
            compression=None,
            max_size=MAX_HANDSHAKE_BYTES,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            server_header=None,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        if not self.peer_url:
            self.peer_url = f"ws://{self.host}:{self.port}"
        self._start_task(self._async_close_idle_periodically())

    async def async_unload(self) -> None:
        """Stop accepting links and close all links."""
        if self._server is not None:
            self._server.close()
        pending = [*self._tasks, *self._opening.values()]
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        links = [link for peer_links in self.links.values() for link in peer_links]
        await asyncio.gather(*(link.async_close() for link in links))
        if self._server is not None:
            await self._server.wait_closed()

    @callback
    def set_addresses(self, addresses: Mapping[EntryId, str]) -> None:
        """Replace the entries that are considered alive."""
        self.addresses = {
            entry: url for entry, url in addresses.items() if entry != self.entry
        }

    @callback
    def subscribe_connected(
        self, listener: Callable[[Identity], None]
    ) -> Callable[[], None]:
        """Call a listener for each new link; return a function that unsubscribes it."""
        self.connected_listeners.append(listener)
        return lambda: self.connected_listeners.remove(listener)

    def peers(self) -> tuple[EntryId, ...]:
        """Return the entries that are considered alive, without this one."""
        return tuple(self.addresses)

    @callback
    def subscribe(
        self, message_type: type[_MessageT], handler: Handler[_MessageT]
    ) -> Callable[[], None]:
        """Register a handler for a message type; return a function that removes it."""
        # Raises KeyError for a type that is not registered.
        name_of(message_type)
        handlers = self.handlers.setdefault(message_type, [])
        handlers.append(handler)
        return lambda: handlers.remove(handler)

    async def async_send(self, peer: EntryId, message: Message) -> None:
        """Queue a message for sending.

        Raises
        ------
        TransportError
            No link can be opened, or the message cannot be queued.
        """
        link = await self._async_get_link(peer)
        link.send(message)
        self.counters.sent_by_name[name_of(type(message))] += 1

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        """Send a request and wait for the response; raises TransportError."""
        started = self.clock.monotonic()
        try:
            async with asyncio.timeout(timeout):
                link = await self._async_get_link(peer)
        except TimeoutError as error:
            raise TransportError(
                f"timed out while connecting to {peer.name}", sent=False
            ) from error
        now = self.clock.monotonic()
        self.counters.sent_by_name[name_of(type(message))] += 1
        left = max(0.0, timeout - (now - started))
        answer = await link.async_request(message, timeout=left)
        if answer is None:
            raise TransportError(f"{peer.name} returned no response", sent=True)
        return answer

    async def async_connect(self, peer_url: str) -> EntryId:
        """Open a link to an address and return the authenticated entry.

        Raises
        ------
        TransportError
            The address does not answer, or the handshake failed.
        """
        link = await self._async_open_or_join(peer_url)
        return link.peer.entry

    async def _async_get_link(self, peer: EntryId) -> Link:
        oldest = self.clock.monotonic() - LINK_REUSE_SECONDS
        for link in self.links.get(peer, ()):
            if not link.closed and (link.busy or link.last_used > oldest):
                return link
        peer_url = self.addresses.get(peer)
        if peer_url is None:
            raise TransportError(f"no address is known for {peer.name}", sent=False)
        link = await self._async_open_or_join(peer_url)
        if link.peer.entry != peer:
            raise OtherEntryError(
                f"{link.peer.entry.name} answers at the address of {peer.name}, "
                "but its name or incarnation is not the expected one",
                found=link.peer.entry,
            )
        return link

    async def _async_open_or_join(self, peer_url: str) -> Link:
        """Open a link to an address, or wait for the attempt already in progress."""
        task = self._opening.get(peer_url)
        if task is None:
            task = asyncio.create_task(self._async_open_link(peer_url))
            self._opening[peer_url] = task
            task.add_done_callback(lambda done: self._on_open_done(peer_url, done))
        return await asyncio.shield(task)

    def _on_open_done(self, peer_url: str, task: asyncio.Task[Link]) -> None:
        self._opening.pop(peer_url, None)
        if not task.cancelled():
            # Marks the exception as retrieved; every waiter may have been cancelled.
            task.exception()

    async def _async_open_link(self, peer_url: str) -> Link:
        authenticated = await async_dial(
            peer_url, self.identity, self.secret, self.counters
        )
        link = self._add_link(authenticated)
        self._start_task(self._async_run(link))
        return link

    async def _async_serve(self, connection: ServerConnection) -> None:
        try:
            authenticated = await async_authenticate_incoming(
                connection, self.identity, self.secret, self.counters
            )
        except HandshakeError as error:
            _LOGGER.warning("Rejected incoming link: %s", error)
            return
        await self._async_run(self._add_link(authenticated))

    @property
    def identity(self) -> Identity:
        """Return the identity that this entry presents to its peers."""
        return Identity(entry=self.entry, peer_url=self.peer_url)

    def _add_link(self, authenticated: AuthenticatedConnection) -> Link:
        handshake = authenticated.handshake
        peer = handshake.peer
        link = Link(
            authenticated.connection,
            peer,
            send_authenticator=handshake.send_authenticator,
            receive_authenticator=handshake.receive_authenticator,
            dispatch=self._async_dispatch,
            counters=self.counters,
            hybrid_clock=self.hybrid_clock,
            clock=self.clock,
        )
        self.links.setdefault(peer.entry, []).append(link)
        self.counters.links_opened += 1
        for listener in tuple(self.connected_listeners):
            listener(peer)
        return link

    async def _async_run(self, link: Link) -> None:
        try:
            await link.async_run()
        finally:
            peer_links = self.links.get(link.peer.entry, [])
            if link in peer_links:
                peer_links.remove(link)
            if not peer_links:
                self.links.pop(link.peer.entry, None)

    async def _async_dispatch(self, peer: EntryId, message: Message) -> Message | None:
        answer: Message | None = None
        for handler in tuple(self.handlers.get(type(message), ())):
            answer = await handler(peer, message) or answer
        if answer is not None:
            self.counters.sent_by_name[name_of(type(answer))] += 1
        return answer

    async def async_close_idle(self) -> None:
        """Close the links that were not used for ``LINK_IDLE_SECONDS``."""
        oldest = self.clock.monotonic() - LINK_IDLE_SECONDS
        links = [link for peer_links in self.links.values() for link in peer_links]
        for link in links:
            if not link.busy and link.last_used < oldest:
                await link.async_close()

    async def _async_close_idle_periodically(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            await self.async_close_idle()

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
