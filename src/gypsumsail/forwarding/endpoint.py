"""Takes the calls that other VMs forward to this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Final

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
from gypsumsail.gateway.models import Call
from gypsumsail.gateway.port import CallerReply
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import (
    CHUNKED_VERSION,
    HttpRequest,
    RefusedError,
    check_framing,
)

RESERVED_HEADERS: Final = frozenset({FORWARD_ID_HEADER, REFUSAL_HEADER})
"""Headers of this protocol, which a target's answer must not bring to the sender."""


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
        reply.common_headers += _answer_headers(request)
        reply.reserved_names = RESERVED_HEADERS
        await _async_notice_end()
        try:
            message = decode_forward(request.body)
            call = self._call(message, request.received_at)
        except (ValueInvalidError, InvalidRequestError, RefusedError) as err:
            self.gateway.telemetry.forward_invalid(str(err))
            reply.send(400, [], b"")
            return
        refusal = self._refusal(message)
        self.gateway.telemetry.forward_received(call, message.sender, refusal)
        if refusal is not None:
            reply.common_headers.append((REFUSAL_HEADER, refusal.encode()))
            reply.send(503, [], b"")
            return
        self.in_progress += 1
        try:
            await self.gateway.async_handle(
                call, self.make_reply(reply, call.request_id), message.terms
            )
        finally:
            self.in_progress -= 1

    def _call(self, message: ForwardMessage, received_at: float) -> Call:
        """Read the caller's request as if it had come to this VM.

        Raises RefusedError for headers that the port for callers rejects.
        """
        check_framing(CHUNKED_VERSION, list(message.headers))
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


async def _async_notice_end() -> None:
    """Let the end of the connection, if it has arrived as well, cancel the call.

    The call and the end are read in one run of the event loop each; the next one
    reports the end.
    """
    for _ in range(2):
        await asyncio.sleep(0)


def _answer_headers(request: HttpRequest) -> list[tuple[bytes, bytes]]:
    """Return the headers of all answers; the id is that of the forwarded call."""
    found = [
        (FORWARD_ID_HEADER, value)
        for name, value in request.headers
        if name.lower() == FORWARD_ID_HEADER
    ]
    return [*found, (b"keep-alive", b"timeout=%d" % KEEP_ALIVE_SECONDS)]
