"""Client side of an HTTP/1.1 connection, for polling and engine event streams."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from gypsumsail.core.callback import callback
from gypsumsail.transport.const import HEADER_LIMIT_BYTES, MAX_UNREAD_BODY_BYTES
from gypsumsail.transport.errors import BrokenStreamError
from gypsumsail.transport.response_head import (
    INTERIM_BODY,
    TRANSFER_ENCODING,
    check_status,
    check_transfer_codings,
    failure_reason,
    is_interim,
)
from gypsumsail.transport.socket_options import limit_sending, reset_on_close


class StreamConnection(asyncio.Protocol):
    """Client connection that returns the body of a response as it arrives.

    It handles one request at a time.

    Attributes
    ----------
    status, content_type
        Status and content type of the response.
    has_head
        Whether the head of the response has arrived.
    is_complete
        Whether the whole response has arrived.
    framing_bytes
        Bytes that have arrived since the last ones of a body: heads, sizes of chunks
        and headers after the body.
    is_reusable
        Whether the connection can be used for another request.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.error: BrokenStreamError | None = None
        self.is_closed = False
        self.is_used = False
        self.waiter: asyncio.Future[None] | None = None
        self._reset()

    def _reset(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.content_type = ""
        self.transfer_codings: list[bytes] = []
        self.framing_bytes = 0
        self.chunks: list[bytes] = []
        self.unread_bytes = 0
        self.has_head = False
        self.is_complete = False
        self.is_paused = False

    @property
    def is_reusable(self) -> bool:
        """Return whether the response is complete and the connection is still open."""
        return (
            self.is_complete
            and not self.is_closed
            and self.error is None
            and not self.chunks
        )

    @callback
    def send(self, request: bytes, *, limit_seconds: float) -> None:
        """Send a request.

        Parameters
        ----------
        limit_seconds
            Time after which the kernel gives up sending what the server has not
            acknowledged; the connection then ends with an error.
        """
        self._reset()
        self.is_used = True
        if self.transport is None or self.is_closed:
            self._set_error("connection is closed")
            return
        limit_sending(self.transport, limit_seconds)
        self.transport.write(request)

    @callback
    def abort(self) -> None:
        """Close the connection immediately, without flushing buffered data."""
        if self.transport is not None:
            self.transport.abort()

    @callback
    def fail(self, reason: str) -> None:
        """End the response with an error and close the connection."""
        self._set_error(reason)
        self.abort()

    async def async_wait_for_head(self) -> None:
        """Wait for the head of the response."""
        while not self.has_head:
            await self._async_wait()

    async def async_read(self) -> bytes:
        """Return the body bytes since the last read; empty at the end of the body."""
        while not self.chunks:
            if self.is_complete and self.error is None:
                return b""
            await self._async_wait()
        chunks, self.chunks = self.chunks, []
        self.unread_bytes = 0
        if self.is_paused and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    async def _async_wait(self) -> None:
        if self.error is not None:
            raise self.error
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _set_error(self, reason: str) -> None:
        if self.error is None:
            self.error = BrokenStreamError(reason)
        self._wake()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast("asyncio.Transport", transport)
        reset_on_close(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a response that is incomplete."""
        self.is_closed = True
        if not self.is_complete:
            self._set_error("the connection was lost")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_complete or not self.is_used:
            self.fail("received bytes without a pending request")
            return
        self.framing_bytes += len(data)
        # Approximate limit: the last bytes may also contain the start of the body.
        if self.framing_bytes > HEADER_LIMIT_BYTES + MAX_UNREAD_BODY_BYTES:
            self.fail(
                "the response has too many bytes outside its body"
                if self.has_head
                else "response head is too large"
            )
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            self.fail(failure_reason(err))
            return
        self._wake()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the content type and the transfer codings."""
        key = name.lower()
        if key == b"content-type":
            self.content_type = value.decode("latin-1")
        elif key == TRANSFER_ENCODING:
            self.transfer_codings.append(value)

    def on_headers_complete(self) -> None:
        """Store the status; the head of an interim (1xx) response is none."""
        self.status = self.parser.get_status_code()
        check_status(self.status)
        check_transfer_codings(self.transfer_codings)
        self.transfer_codings = []
        self.has_head = not is_interim(self.status)

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body; pause reading when the buffer is too large."""
        if not self.has_head:
            raise BrokenStreamError(INTERIM_BODY)
        self.framing_bytes = 0
        self.chunks.append(body)
        self.unread_bytes += len(body)
        too_much = self.unread_bytes > MAX_UNREAD_BODY_BYTES
        if too_much and not self.is_paused and self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Mark the response as complete; an interim (1xx) response is skipped."""
        if not self.has_head:
            return
        self.is_complete = True
        if not self.parser.should_keep_alive():
            self.abort()
