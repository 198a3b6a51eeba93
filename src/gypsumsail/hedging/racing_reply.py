"""Reply of a send that may have to compete with another one."""

from __future__ import annotations

from collections.abc import Callable

from gypsumsail.core.callback import callback
from gypsumsail.gateway.models import HeaderPairs
from gypsumsail.gateway.port import CallerReply


class RacingReply:
    """Passes on the answer of one send if it is the one that the caller gets.

    Attributes
    ----------
    claim
        Returns whether the caller gets the answer of this send. The first send that
        asks is the one.
    """

    def __init__(self, reply: CallerReply, claim: Callable[[], bool]) -> None:
        self.reply = reply
        self.claim = claim

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the reply has been sent."""
        return self.reply.has_begun

    @callback
    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete reply."""
        if self.claim():
            self.reply.send(status, headers, body)

    @callback
    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of a stream."""
        if self.claim():
            self.reply.begin(status, headers)

    @callback
    def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        if self.claim():
            self.reply.write(data)

    @callback
    def end(self) -> None:
        """Mark a stream as complete."""
        if self.claim():
            self.reply.end()

    @callback
    def abort(self) -> None:
        """Close the connection of the caller."""
        if self.claim():
            self.reply.abort()

    async def async_drain(self) -> None:
        """Wait until the send buffer has drained."""
        await self.reply.async_drain()
