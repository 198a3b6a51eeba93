"""Reply to one HTTP request of a caller."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from gypsumsail.core.callback import callback
from gypsumsail.transport.http_request import HeaderPairs, HttpRequest

if TYPE_CHECKING:
    from gypsumsail.transport.http_server import CallerConnection

REASON_PHRASES: Final = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class ReplyPhase(Enum):
    """Progress of the reply to a request."""

    NOT_STARTED = auto()
    HEAD_SENT = auto()
    COMPLETE = auto()
    ABORTED = auto()


class ReplyBegunError(RuntimeError):
    """A reply was to be sent although it has begun; nothing was written for it."""


class Reply:
    """Writes the reply to one request.

    A handler that begins it twice fails, so that the connection is aborted.

    Attributes
    ----------
    phase
        Progress of the reply; the connection is closed after an incomplete reply.
    has_body
        Whether a body is sent; the reply to HEAD has none.
    is_closing
        Whether the connection is closed after this reply.
    common_headers
        Headers that are added to the reply, whoever sends it.
    reserved_names
        Names, in lower case, of headers that only ``common_headers`` may contain.
    """

    def __init__(self, connection: CallerConnection, request: HttpRequest) -> None:
        self.connection = connection
        self.request = request
        self.phase = ReplyPhase.NOT_STARTED
        self.has_body = request.method != b"HEAD"
        self.is_chunked = False
        self.is_closing = not request.keep_alive
        self.common_headers: HeaderPairs = []
        self.reserved_names: frozenset[bytes] = frozenset()

    @callback
    def send(self, status: int, headers: HeaderPairs, body: bytes) -> None:
        """Send a complete reply, with a content length if its status allows a body."""
        self._check_not_begun()
        head = self._head(status, headers)
        is_counted = self.has_body and status // 100 != 1 and status not in (204, 304)
        if is_counted:
            head += b"content-length: %d\r\n" % len(body)
        self.phase = ReplyPhase.COMPLETE
        self.connection.write(head + b"\r\n" + (body if self.has_body else b""))

    @callback
    def begin(self, status: int, headers: HeaderPairs) -> None:
        """Send the head of a chunked reply, whose length is not known in advance."""
        self._check_not_begun()
        self.is_chunked = True
        self.phase = ReplyPhase.HEAD_SENT
        head = self._head(status, headers)
        self.connection.write(head + b"transfer-encoding: chunked\r\n\r\n")

    @callback
    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if data and self.has_body:
            self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    @callback
    def end(self) -> None:
        """Send the final chunk, which completes the body."""
        self.phase = ReplyPhase.COMPLETE
        if self.has_body:
            self.connection.write(b"0\r\n\r\n")

    @callback
    def abort(self) -> None:
        """Abort the connection, so that the caller can detect the incomplete reply."""
        self.phase = ReplyPhase.ABORTED
        self.connection.abort()

    async def async_drain(self) -> None:
        """Wait until the write buffer has room, if the caller reads slowly."""
        await self.connection.async_drain()

    def _check_not_begun(self) -> None:
        if self.phase is not ReplyPhase.NOT_STARTED:
            raise ReplyBegunError(f"the reply is in the phase {self.phase.name}")

    def _head(self, status: int, headers: HeaderPairs) -> bytes:
        if self.connection.is_draining:
            self.is_closing = True
        reason = REASON_PHRASES.get(status, "Status").encode()
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        if self.reserved_names:
            headers = [
                pair for pair in headers if pair[0].lower() not in self.reserved_names
            ]
        lines += [b"%b: %b\r\n" % pair for pair in (*headers, *self.common_headers)]
        if self.is_closing:
            lines.append(b"connection: close\r\n")
        return b"".join(lines)
