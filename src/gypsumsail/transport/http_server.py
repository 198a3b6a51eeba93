"""HTTP/1.1 server that answers the requests of each connection in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import logging
from typing import Final, cast

import httptools

from gypsumsail.core.aligned_sleep import aligned_delay
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.transport.buffer_budget import BufferBudget, process_buffers
from gypsumsail.transport.http_reply import REASON_PHRASES, Reply, ReplyPhase
from gypsumsail.transport.http_request import (
    HeaderPairs,
    HttpRequest,
    RefusedError,
    ServerLimits,
    check_framing,
)

MAX_PIPELINED_REQUESTS: Final = 16
WRITE_BUFFER_HIGH_WATER_BYTES: Final = 64 * 1024
CLOSE_LINGER_SECONDS: Final = 1.0

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class _PartialRequest:
    """A request that is being read.

    Attributes
    ----------
    has_head
        Whether the head is complete; headers that follow are trailer fields.
    section_bytes
        Bytes of the head, and then of the trailer section, that were read so far.
    body_bytes
        Bytes of the body that were read so far.
    """

    started_at: float
    target: bytes = b""
    headers: HeaderPairs = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    has_head: bool = False
    section_bytes: int = 0
    body_bytes: int = 0


Handler = Callable[["HttpRequest", "Reply"], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """Connection of one caller, whose requests are answered in order.

    Attributes
    ----------
    framing_bytes
        Bytes received after the data in which the latest request began or ended, or
        in which bytes of a body or the size of a chunk arrived last; limits lines
        that never end.
    peer
        Address of the caller.
    last_active_at
        Event loop time, in seconds, of the last received bytes or completed reply.
    write_resumed
        Completes when the write buffer has room again; ``None`` while it has room.
    is_lingering
        Whether the connection is being closed and waits for its caller to close it.
    """

    def __init__(
        self, server: HttpServer, budget: BufferBudget = process_buffers
    ) -> None:
        self.server = server
        self.budget = budget
        self.peer = ""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.partial: _PartialRequest | None = None
        self.pending: deque[HttpRequest] = deque()
        self.worker: asyncio.Task[None] | None = None
        self.is_closed = False
        self.is_discarding_input = False
        self.framing_bytes = 0
        self.last_active_at = self.loop.time()
        self.write_resumed: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_lingering = False

    @property
    def is_draining(self) -> bool:
        """Return whether the server closes each connection after its next reply."""
        return self.server.is_draining

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self.partial is None and self.worker is None and not self.pending

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether bytes of an answer wait to be written."""
        return (
            self.transport is not None
            and not self.is_closed
            and self.transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start to check its time limits."""
        self.transport = cast("asyncio.Transport", transport)
        host, port, *_ = transport.get_extra_info("peername") or ("", 0)
        self.peer = f"{host}:{port}"
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_WATER_BYTES)
        self.server.connections.add(self)
        self._check_timeouts()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request and drop the pending ones."""
        self.is_closed = True
        self.budget.forget(self)
        self.server.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.write_resumed is not None and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        self.pending.clear()
        if self.worker is not None:
            self.worker.cancel()

    def eof_received(self) -> bool:
        """Close the connection: a half-closed connection gets no answer."""
        return False

    def pause_writing(self) -> None:
        """Make ``async_drain`` wait, and count what the caller has not read."""
        self.write_resumed = self.loop.create_future()
        self.budget.update(self)

    def resume_writing(self) -> None:
        """Make ``async_drain`` return."""
        if self.write_resumed is not None and not self.write_resumed.done():
            self.write_resumed.set_result(None)
        self.write_resumed = None
        self.budget.forget(self)

    async def async_drain(self) -> None:
        """Wait until the write buffer is below its high-water mark."""
        if self.write_resumed is not None:
            await asyncio.shield(self.write_resumed)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.is_discarding_input:
            return
        self.last_active_at = self.loop.time()
        self.framing_bytes += len(data)
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as err:
            self._ignore_upgrade(data[err.args[0] :])
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            if isinstance(cause, RefusedError):
                self._refuse(cause.status)
                return
            _LOGGER.error("Unexpected error while parsing a request", exc_info=err)
            self._refuse(400)
        except httptools.HttpParserError:
            # The parser rejects what follows a request that closes the connection.
            if not self.is_discarding_input:
                self._refuse(400)
        else:
            if self.framing_bytes > self.server.limits.head_bytes:
                self._refuse(431)

    def _ignore_upgrade(self, rest: bytes) -> None:
        """Go on in HTTP/1.1 when a request offers another protocol (RFC 9110, 7.8).

        The parser treats the body of such a request as bytes of the other protocol, so
        the head is read again without the offer. A tunnel is refused.
        """
        partial, self.partial = self.partial, None
        assert partial is not None
        method = self.parser.get_method()
        if method == b"CONNECT":
            self._refuse(400)
            return
        version = self.parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b\r\n" % (method, partial.target, version)]
        lines += [
            b"%b: %b\r\n" % (name, value)
            for name, value in partial.headers
            if name.lower() != b"upgrade"
        ]
        self.parser = httptools.HttpRequestParser(self)
        self._parse(b"".join(lines) + b"\r\n" + rest)

    def on_message_begin(self) -> None:
        """Start a new request."""
        if len(self.pending) >= MAX_PIPELINED_REQUESTS:
            raise RefusedError(400)
        self.partial = _PartialRequest(started_at=self.loop.time())
        self.framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        assert self.partial is not None
        self.partial.target += url
        self._check_head_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are dropped (RFC 9110, 6.5.1)."""
        assert self.partial is not None
        if not self.partial.has_head:
            self.partial.headers.append((name, value))
        self._check_head_size(len(name) + len(value) + 4)

    def _check_head_size(self, added: int) -> None:
        assert self.partial is not None
        self.partial.section_bytes += added
        if self.partial.section_bytes > self.server.limits.head_bytes:
            raise RefusedError(431)

    def on_headers_complete(self) -> None:
        """Check the framing before the body is read."""
        assert self.partial is not None
        self.partial.has_head = True
        self.partial.section_bytes = 0
        self.framing_bytes = 0
        if self.parser.should_upgrade():
            return
        version = self.parser.get_http_version()
        length = check_framing(version, self.partial.headers)
        if length > self.server.limits.body_bytes:
            raise RefusedError(413)
        expects = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self.partial.headers
        )
        if expects and self.worker is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        assert self.partial is not None
        self.framing_bytes = 0
        self.partial.body.append(body)
        self.partial.body_bytes += len(body)
        if self.partial.body_bytes > self.server.limits.body_bytes:
            raise RefusedError(413)

    def on_chunk_header(self) -> None:
        """Note that the size of a chunk has arrived, with its extensions."""
        self.framing_bytes = 0

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        assert self.partial is not None
        if self.parser.should_upgrade():
            return
        partial, self.partial = self.partial, None
        self.framing_bytes = 0
        self.pending.append(
            HttpRequest(
                method=self.parser.get_method(),
                target=partial.target,
                headers=partial.headers,
                body=b"".join(partial.body),
                keep_alive=self.parser.should_keep_alive(),
                received_at=self.server.clock.monotonic(),
                version=self.parser.get_http_version(),
            )
        )
        if not self.pending[-1].keep_alive:
            self.is_discarding_input = True
        if self.worker is None:
            self.worker = self.loop.create_task(self._async_process_requests())

    async def _async_process_requests(self) -> None:
        try:
            while self.pending and not self.is_closed:
                request = self.pending.popleft()
                reply = Reply(self, request)
                await self._async_answer(request, reply)
                if reply.phase is not ReplyPhase.COMPLETE or reply.is_closing:
                    self._finish(reply)
                    return
        finally:
            self.worker = None
            self.last_active_at = self.loop.time()

    async def _async_answer(self, request: HttpRequest, reply: Reply) -> None:
        try:
            await self.server.handler(request, reply)
        except Exception:
            _LOGGER.exception("Unexpected error in the request handler")
        if reply.phase is ReplyPhase.NOT_STARTED and not self.is_closed:
            reply.send(500, [], b"")

    def _finish(self, reply: Reply) -> None:
        if reply.phase is ReplyPhase.COMPLETE:
            self.close_gracefully()
        else:
            self.abort()

    @callback
    def close_gracefully(self) -> None:
        """Close the write side now, and the connection ``CLOSE_LINGER_SECONDS`` later.

        Closing with unread input would reset the connection, and the caller could lose
        the reply.
        """
        self.is_discarding_input = True
        if self.transport is None or self.is_closed:
            return
        self.is_lingering = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(CLOSE_LINGER_SECONDS, self._end_linger)

    def _end_linger(self) -> None:
        """Close the connection; its caller gets more time while bytes are unsent."""
        if self.has_unsent_bytes:
            self.loop.call_later(CLOSE_LINGER_SECONDS, self._end_linger)
        else:
            self.close()

    @callback
    def close(self) -> None:
        """Close the connection after flushing the written data."""
        if self.transport is not None and not self.is_closed:
            self.transport.close()

    def _refuse(self, status: int) -> None:
        """Reject a request that cannot be read and ignore further input.

        Closes the connection without a response if earlier requests on it are still
        pending or being answered.
        """
        self.is_discarding_input = True
        if self.worker is not None or self.pending:
            self.pending.clear()
            self.close()
            return
        reason = REASON_PHRASES[status].encode()
        self.write(
            b"HTTP/1.1 %d %b\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            % (status, reason)
        )
        self.server.on_refused(status)
        self.close_gracefully()

    @callback
    def write(self, data: bytes) -> None:
        """Write data to the caller."""
        if self.transport is not None and not self.is_closed:
            self.transport.write(data)
            if self.write_resumed is not None:
                self.budget.update(self)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that the caller has not taken yet."""
        if self.transport is None or self.is_closed:
            return 0
        return self.transport.get_write_buffer_size()

    @callback
    def cut_off(self, reason: str) -> None:
        """Close the connection to a caller that reads too slowly."""
        _LOGGER.debug("Connection of a caller is closed: %s", reason)
        self.abort()

    @callback
    def abort(self) -> None:
        """Abort the connection without flushing the written data."""
        if self.transport is not None and not self.is_closed:
            self.transport.abort()

    def _check_timeouts(self) -> None:
        """Close the connection if it is idle or sends a request too slowly."""
        limits = self.server.limits
        now = self.loop.time()
        if self.partial is not None and self.worker is None:
            if now - self.partial.started_at >= limits.request_seconds:
                self._refuse(408)
                return
        elif self.is_idle and now - self.last_active_at >= limits.idle_seconds:
            self.close()
            return
        delay = min(limits.request_seconds, limits.idle_seconds) / 4
        delay = aligned_delay(self.loop.time(), delay)
        self.timer = self.loop.call_later(delay, self._check_timeouts)


class HttpServer:
    """HTTP server that passes complete requests to a handler.

    Attributes
    ----------
    limits
        Limits for callers; may be replaced while the server runs.
    on_refused
        Called with the status of each rejection sent for a request that could not be
        read.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        clock: Clock,
        on_refused: Callable[[int], None] = lambda status: None,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.on_refused = on_refused
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.server: asyncio.Server | None = None

    async def async_start(self, host: str, port: int) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=1024
        )

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self.server is not None
        port = self.server.sockets[0].getsockname()[1]
        assert isinstance(port, int)
        return port

    @property
    def busy_connections(self) -> int:
        """Return the number of connections on which a request is read or answered.

        An answer counts until its last byte is written, and until its caller has had
        time to read it where the connection is closed.
        """
        return sum(
            not connection.is_idle
            or connection.has_unsent_bytes
            or connection.is_lingering
            for connection in self.connections
        )

    @property
    def unsent_connections(self) -> int:
        """Return the number of connections that have bytes to write."""
        return sum(connection.has_unsent_bytes for connection in self.connections)

    @callback
    def drain(self) -> None:
        """Close each connection after its next reply."""
        self.is_draining = True

    @callback
    def stop_accepting(self) -> None:
        """Stop listening and close the idle connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if not connection.is_idle or connection.is_lingering:
                continue
            if connection.has_unsent_bytes:
                connection.close_gracefully()
            else:
                connection.close()

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.abort()
