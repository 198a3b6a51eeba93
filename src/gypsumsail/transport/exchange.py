"""Client side of HTTP/1.1: connections that carry one exchange at a time.

Unlike the connections of ``connection.py``, these can match a response to its request
by a header, keep the response headers and honour keep-alive timeouts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, cast

import httptools

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.transport.buffer_budget import (
    MIN_COUNTED_BYTES,
    BufferBudget,
    process_buffers,
)
from gypsumsail.transport.const import HEADER_LIMIT_BYTES, MAX_UNREAD_BODY_BYTES
from gypsumsail.transport.errors import BrokenStreamError, ResponseTooLargeError
from gypsumsail.transport.request_delivery import END_BEFORE_REQUEST, async_is_taken
from gypsumsail.transport.response_head import (
    INTERIM_BODY,
    TRANSFER_ENCODING,
    check_status,
    check_transfer_codings,
    failure_reason,
    has_framing,
    is_interim,
)
from gypsumsail.transport.socket_options import limit_sending, reset_on_close

KEEP_ALIVE_MARGIN_SECONDS: Final = 1.0
IDLE_LIMIT_SECONDS: Final = 30.0
"""Longest time an idle connection is kept if its server sends no keep-alive timeout."""
FIRST_ERROR_STATUS: Final = 400
HEADER_OVERHEAD_BYTES: Final = 192
"""Memory of a stored header besides its characters, approximately."""
CHUNK_OVERHEAD_BYTES: Final = 48
"""Memory of a stored part of a body besides its bytes, approximately."""
MAX_READ_BYTES: Final = 64 * 1024
"""Maximum number of bytes that a reader takes at once, and which aren't counted."""
MAX_ERROR_IDS: Final = 256
"""Answers with an error after which a connection is not reused."""

RequestIdHeader = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class SkippedResponse:
    """Response that was skipped because it does not bear the id of the request.

    Attributes
    ----------
    request_id
        Id that it bears, several joined by commas; ``None`` without one.
    number
        Number of responses that were skipped for the request so far, from 1.
    """

    status: int
    request_id: bytes | None
    number: int


class ExchangeConnection(asyncio.Protocol):
    """Connection that sends a request, reads its response, and is then reused.

    Attributes
    ----------
    peer
        Address of the server, to which the budget attributes what is buffered.
    status
        Status of the response; 0 until its head has arrived.
    headers
        Headers of the response, with lower-case names.
    is_complete
        Whether the whole response has arrived.
    has_ended
        Whether the response has ended with its connection, which is complete if the
        server has taken the whole request.
    framing_bytes
        Bytes that have arrived since the last ones of a body: heads, sizes of chunks
        and headers after the body.
    header_bytes
        Memory that the headers of the response take, approximately.
    idle_until
        Event loop time, in seconds, after which the idle connection is not reused.
    send_limit_seconds
        Limit that was set with the last request; see ``send``.
    exchange_count
        Number of requests that were sent over the connection.
    repeats_ids
        Whether the server has repeated the id of a request over the connection.
    error_ids
        Ids of the requests that were answered with an error over the connection.
    on_skipped
        Called with each response that is skipped.
    """

    def __init__(self, peer: str = "", budget: BufferBudget = process_buffers) -> None:
        self.peer = peer
        self.budget = budget
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.error: TransportError | None = None
        self.is_closed = False
        self.is_in_use = False
        self.waiter: asyncio.Future[None] | None = None
        self.idle_until = 0.0
        self.send_limit_seconds: float | None = None
        self.exchange_count = 0
        self.repeats_ids = False
        self.error_ids: set[bytes] = set()
        self.on_skipped: Callable[[SkippedResponse], None] = _ignore_skipped
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.collected: list[bytes] = []
        self.unread_bytes = 0
        self.collected_bytes = 0
        self.framing_bytes = 0
        self.header_bytes = 0
        self.has_head = False
        self.has_framing = False
        self.request_bytes = 0
        self.has_ended = False
        self.is_complete = False
        self.is_paused = False
        self.is_unrelated = False
        self.is_unidentified = False
        self.skipped_count = 0
        self.request_id_header: RequestIdHeader | None = None
        self.may_lack_id = False

    @property
    def local_port(self) -> int:
        """Return the local port; 0 if the connection was not made."""
        if self.transport is None:
            return 0
        address = self.transport.get_extra_info("sockname")
        return int(address[1]) if address else 0

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can be used for another request."""
        return (
            (self.is_complete or not self.exchange_count)
            and not self.is_closed
            and not self.has_ended
            and not self.is_unidentified
            and len(self.error_ids) < MAX_ERROR_IDS
            and self.error is None
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    @callback
    def send(
        self,
        request: bytes,
        request_id_header: RequestIdHeader | None = None,
        *,
        may_lack_id: bool = False,
        limit_seconds: float | None,
    ) -> None:
        """Send a request; raises TransportError if the connection is closed.

        Parameters
        ----------
        limit_seconds
            Time after which the kernel gives up sending what the server has not
            acknowledged; the connection then ends with an error. ``None`` for calls
            with long bodies, which a sound server may read late.
        request_id_header
            Name and value of the header that identifies the request in its response.
            Responses with another value are skipped, and so are responses without the
            header. They count only if their status is 400 or higher and the connection
            has carried no request before, whose response they could be.
        may_lack_id
            Whether a response without the header counts, whatever its status, unless
            the server has repeated an id over the connection.
        """
        if self.transport is None or self.is_closed or self.transport.is_closing():
            raise TransportError("connection is closed", sent=False)
        self._reset()
        self.request_id_header = request_id_header
        self.may_lack_id = may_lack_id
        self.is_in_use = True
        self.request_bytes = len(request)
        self.exchange_count += 1
        if limit_seconds != self.send_limit_seconds:
            self.send_limit_seconds = limit_seconds
            limit_sending(self.transport, limit_seconds)
        self.transport.write(request)

    @callback
    def abort(self) -> None:
        """Close the connection immediately, without flushing buffered data."""
        self.is_in_use = False
        self.budget.forget(self)
        if self.transport is not None:
            self.transport.abort()

    async def async_wait_for_head(self) -> None:
        """Wait for the head of the response."""
        while not self.has_head:
            await self._async_wait()

    async def async_read(self) -> bytes:
        """Return up to ``MAX_READ_BYTES`` of the body; empty at its end."""
        while not self.chunks:
            if self.is_complete:
                return b""
            if self.has_ended:
                await self._async_check_end()
            else:
                await self._async_wait()
        data = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self.chunks = []
        self.unread_bytes = 0
        if len(data) > MAX_READ_BYTES:
            self.chunks = [data[MAX_READ_BYTES:]]
            self.unread_bytes = len(data) - MAX_READ_BYTES
            data = data[:MAX_READ_BYTES]
        self._update_budget()
        if self.chunks:
            return data
        if self.is_paused and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()
        return data

    async def async_read_all(self, limit: int) -> bytes:
        """Return the whole body; raises ResponseTooLargeError above the limit."""
        try:
            while data := await self.async_read():
                self.collected.append(data)
                self.collected_bytes += len(data)
                if self.collected_bytes > limit:
                    message = f"response body is larger than {limit} bytes"
                    self._cut_off("body", message)
                    raise ResponseTooLargeError(message)
            return b"".join(self.collected)
        finally:
            self._drop_buffers()
            self._update_budget()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes of the body that are kept, unread or collected."""
        return self.unread_bytes + self.collected_bytes

    @callback
    def cut_off(self, reason: str) -> None:
        """Drop the response and close the connection."""
        self._drop_buffers()
        self._fail(f"the response was cut off: {reason}", is_final=True)

    def _drop_buffers(self) -> None:
        self.chunks = []
        self.collected = []
        self.unread_bytes = self.collected_bytes = 0

    def _cut_off(self, reason: str, message: str) -> None:
        self.budget.report(self, reason)
        self._fail(message)

    def _update_budget(self) -> None:
        if self.buffered_bytes >= MIN_COUNTED_BYTES or self in self.budget.sizes:
            self.budget.update(self)

    async def _async_wait(self) -> None:
        if self.error is not None:
            raise self.error
        self.waiter = self.loop.create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    async def _async_check_end(self) -> None:
        """Complete a response that has ended with its connection.

        Raises BrokenStreamError unless the server has taken the whole request.
        """
        assert self.transport is not None
        connection = self.transport.get_extra_info("socket")
        if self.error is None and await async_is_taken(
            connection, self.transport, request_bytes=self.request_bytes
        ):
            self.is_complete = True
            return
        self._fail(END_BEFORE_REQUEST)
        assert self.error is not None
        raise self.error

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _fail(self, reason: str, *, is_final: bool = False) -> None:
        """End the exchange; a response that is complete stays so unless final."""
        if self.error is None and (is_final or not self.is_complete):
            self.is_complete = False
            self.error = BrokenStreamError(reason)
        self._wake()
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast("asyncio.Transport", transport)
        reset_on_close(transport)

    def eof_received(self) -> bool:
        """End the response; return whether the connection stays open to check it.

        Only a response without a content length or a transfer encoding may end so.
        """
        if self.is_complete or not self.is_in_use or self.error is not None:
            return False
        if not self.has_head or self.has_framing:
            self._fail("the connection was lost")
            return False
        self.has_ended = True
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a response that is incomplete."""
        self.is_closed = True
        if self.is_in_use:
            self._fail("the connection was lost")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self.is_in_use or self.is_complete:
            self._fail("received bytes without a pending request")
            return
        self.framing_bytes += len(data)
        # Approximate limit: the last bytes may also contain the start of the body.
        if self.framing_bytes > HEADER_LIMIT_BYTES + MAX_UNREAD_BODY_BYTES:
            self._cut_off(
                "framing",
                "the response has too many bytes outside its body"
                if self.has_head
                else "response head is too large",
            )
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self._fail(failure_reason(err))
            return
        self._update_budget()
        self._wake()

    def on_message_begin(self) -> None:
        """Reject a second response to the same request."""
        if self.is_complete:
            raise BrokenStreamError("received a second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; those after the body are ignored."""
        self.header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self.header_bytes > HEADER_LIMIT_BYTES:
            self._cut_off("headers", "the headers of the response are too large")
            raise BrokenStreamError("the headers of the response are too large")
        if not self.has_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the status; an interim (1xx) response is skipped."""
        status = self.parser.get_status_code()
        check_status(status)
        check_transfer_codings(
            [value for name, value in self.headers if name == TRANSFER_ENCODING]
        )
        if is_interim(status):
            self._drop_headers()
            return
        is_framed = has_framing(status, self.headers)
        self.is_unrelated = not self._matches_request(status)
        if self.is_unrelated:
            self._report_skipped(status)
            if not is_framed:
                self._fail("a response to another request has no end")
            return
        if status >= FIRST_ERROR_STATUS and self.request_id_header is not None:
            self.error_ids.add(self.request_id_header[1])
        self.status = status
        self.has_framing = is_framed
        self.has_head = True

    def _drop_headers(self) -> None:
        self.headers.clear()
        self.header_bytes = 0

    def _matches_request(self, status: int) -> bool:
        if self.request_id_header is None:
            return True
        name, expected = self.request_id_header
        found = [value for key, value in self.headers if key == name]
        if found:
            self.repeats_ids = True
            return found == [expected]
        if self.may_lack_id:
            return not self.repeats_ids
        is_first = self.exchange_count == 1 and not self.repeats_ids
        self.is_unidentified = is_first and status >= FIRST_ERROR_STATUS
        return self.is_unidentified

    def _report_skipped(self, status: int) -> None:
        assert self.request_id_header is not None
        found = [
            value for key, value in self.headers if key == self.request_id_header[0]
        ]
        self.skipped_count += 1
        self.on_skipped(
            SkippedResponse(
                status=status,
                request_id=b", ".join(found) if found else None,
                number=self.skipped_count,
            )
        )

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pause reading when the buffer is too large."""
        if self.is_unrelated:
            return
        if not self.has_head:
            raise BrokenStreamError(INTERIM_BODY)
        self.framing_bytes = 0
        self.chunks.append(body)
        self.unread_bytes += len(body) + CHUNK_OVERHEAD_BYTES
        too_much = self.unread_bytes > MAX_UNREAD_BODY_BYTES
        if too_much and not self.is_paused and self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the response as complete and set the expiry of the idle connection."""
        if self.is_unrelated:
            self.is_unrelated = False
            self._drop_headers()
            return
        if not self.has_head or not self.has_framing:
            return
        self.is_complete = True
        self.idle_until = self.loop.time() + self._keep_alive_seconds()
        if not self.parser.should_keep_alive() and self.transport is not None:
            self.transport.close()

    def _keep_alive_seconds(self) -> float:
        for name, value in self.headers:
            if name != b"keep-alive":
                continue
            for item in value.split(b","):
                key, _, text = item.strip().partition(b"=")
                if key.lower() == b"timeout" and text.isdigit():
                    return max(int(text) - KEEP_ALIVE_MARGIN_SECONDS, 0.0)
        return IDLE_LIMIT_SECONDS


def _ignore_skipped(skipped: SkippedResponse) -> None:
    """Stand in where nobody is told."""
