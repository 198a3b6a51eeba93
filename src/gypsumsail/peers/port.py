"""Interface between entries: typed messages over authenticated links."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryId:
    """Id of one process of an entry; a restart changes the incarnation."""

    name: str
    incarnation: str
    zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Base class of all messages between entries; subclasses are data classes."""


_MessageT = TypeVar("_MessageT", bound=Message)
Handler = Callable[[EntryId, _MessageT], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Sends messages to the other entries and receives messages from them."""

    def peers(self) -> tuple[EntryId, ...]:
        """Return the entries that are considered alive, without this one."""

    def subscribe(
        self, message_type: type[_MessageT], handler: Handler[_MessageT]
    ) -> Callable[[], None]:
        """Register a handler for a message type; return a function that removes it.

        The message that the handler returns is sent as the response to a request. If
        several handlers of a type return a message, the last one is sent.
        """

    async def async_send(self, peer: EntryId, message: Message) -> None:
        """Queue a message for sending.

        Raises
        ------
        TransportError
            No link can be opened, or the message cannot be queued.
        """

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        """Send a request and wait for the response.

        Raises
        ------
        TransportError
            No response arrived. If ``sent`` is true, the peer may have handled the
            request.
        """
