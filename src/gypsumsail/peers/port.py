"""Port between entries: typed messages over authenticated links."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryId:
    """One life of an entry."""

    name: str
    incarnation: str
    zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Base of all messages between entries; subclasses are plain data classes."""


_MessageT = TypeVar("_MessageT", bound=Message)
Handler = Callable[[EntryId, _MessageT], Awaitable[Message | None]]


class PeerNetwork(Protocol):
    """Links to the other entries."""

    def peers(self) -> tuple[EntryId, ...]:
        """Return the entries that are believed alive, without this one."""

    def subscribe(
        self, message_type: type[_MessageT], handler: Handler[_MessageT]
    ) -> Callable[[], None]:
        """Handle a message type; return the function that ends it.

        What the handler returns is sent back as the answer to a request.
        """

    async def async_send(self, peer: EntryId, message: Message) -> None:
        """Send a message; raises TransportError when there is no link."""

    async def async_request(
        self, peer: EntryId, message: Message, *, timeout: float
    ) -> Message:
        """Send a message and wait for the answer.

        Raises
        ------
        TransportError
            No answer came; with ``sent`` true the peer may have acted.
        """
