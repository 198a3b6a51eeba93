"""Takes the calls that other VMs forward to this one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from gypsumsail.core.callback import callback
from gypsumsail.core.cbor import ValueInvalidError
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import InvalidRequestError
from gypsumsail.forwarding.const import (
    FORWARD_ID_HEADER,
    KEEP_ALIVE_SECONDS,
    MAX_CALLS_IN_PROGRESS,
    REFUSAL_HEADER,
)
from gypsumsail.forwarding.messages import ForwardMessage, decode_forward
from gypsumsail.gateway.coordinator import Gateway
from gypsumsail.gateway.forwarding import ForwardRefusal, forward_refusal
from gypsumsail.gateway.models import Call, HeaderPairs
from gypsumsail.gateway.port import CallerReply
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest


class ForwardedReply:
    """Reply to a VM that forwarded a call."""

    def __init__(self, reply: CallerReply, headers: HeaderPairs) -> None:
        self.reply = reply
        self.headers = headers

    @property
    def has_begun(self) -> bool:
        """Return whether any byte of the reply has been sent."""
        return self.reply.has_begun

    @callback
    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete reply."""
        self.reply.send(status, (*headers, *self.headers), body)

    @callback
    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of a stream."""
        self.reply.begin(status, (*headers, *self.headers))

    @callback
    def write(self, data: bytes) -> None:
        """Send a part of a stream."""
        self.reply.write(data)

    @callback
    def end(self) -> None:
        """Mark a stream as complete."""
        self.reply.end()

    @callback
    def abort(self) -> None:
        """Close the connection, so that the reply can't appear complete."""
        self.reply.abort()

    async def async_drain(self) -> None:
        """Wait until the other VM has read enough of the buffered data."""
        await self.reply.async_drain()


class ForwardEndpoint:
    """Serves calls of other VMs as calls of this one.

    Attributes
    ----------
    in_progress
        Number of forwarded calls that are being served.
    is_stopping
        Returns whether this VM is shutting down.
    """

    def __init__(
        self,
        gateway: Gateway,
        clock: Clock,
        read_call: Callable[[HttpRequest], Call],
        make_reply: Callable[[Reply, str], CallerReply],
        is_stopping: Callable[[], bool],
    ) -> None:
        self.gateway = gateway
        self.clock = clock
        self.read_call = read_call
        self.make_reply = make_reply
        self.is_stopping = is_stopping
        self.in_progress = 0

    async def async_handle(self, request: HttpRequest, reply: Reply) -> None:
        """Serve one forwarded call, or say at once why not."""
        headers = _answer_headers(request)
        try:
            message = decode_forward(request.body)
            call = self._call(message, request.received_at)
        except (ValueInvalidError, InvalidRequestError) as err:
            self.gateway.telemetry.forward_invalid(str(err))
            reply.send(400, list(headers), b"")
            return
        refusal = self._refusal(message)
        self.gateway.telemetry.forward_received(call, message.sender, refusal)
        if refusal is not None:
            reply.send(503, [*headers, (REFUSAL_HEADER, refusal.encode())], b"")
            return
        self.in_progress += 1
        try:
            inner = self.make_reply(reply, call.request_id)
            await self.gateway.async_handle(
                call, ForwardedReply(inner, headers), message.terms
            )
        finally:
            self.in_progress -= 1

    def _call(self, message: ForwardMessage, received_at: float) -> Call:
        """Read the caller's request as if it had come to this VM."""
        call = self.read_call(
            HttpRequest(
                method=message.method,
                target=message.target,
                headers=list(message.headers),
                body=message.body,
                keep_alive=True,
                received_at=received_at,
            )
        )
        return replace(call, deadline=received_at + message.terms.time_left)

    def _refusal(self, message: ForwardMessage) -> ForwardRefusal | None:
        if self.is_stopping():
            return ForwardRefusal.STOPPING
        if self.in_progress >= MAX_CALLS_IN_PROGRESS:
            return ForwardRefusal.FULL
        return forward_refusal(self.gateway, message.terms, self.clock.monotonic())


def _answer_headers(request: HttpRequest) -> HeaderPairs:
    """Return the headers of all answers; the id is that of the forwarded call."""
    found = [
        (FORWARD_ID_HEADER, value)
        for name, value in request.headers
        if name.lower() == FORWARD_ID_HEADER
    ]
    return (*found, (b"keep-alive", b"timeout=%d" % KEEP_ALIVE_SECONDS))
