"""HTTP requests of callers, their limits and the check of their framing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HeaderPairs = list[tuple[bytes, bytes]]

CHUNKED_VERSION: Final = "1.1"
"""Version of HTTP in which a body may be chunked."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Size and time limits for callers.

    Attributes
    ----------
    head_bytes, body_bytes
        Maximum size of the head and of the body of a request.
    request_seconds
        Time limit from the first byte of a request to its last, in seconds.
    idle_seconds
        Time that a connection may stay open without a request, in seconds.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    request_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(slots=True)
class HttpRequest:
    """A complete request.

    Attributes
    ----------
    target
        Request target exactly as it was sent.
    headers
        Names as sent and values without surrounding whitespace, in order.
    received_at
        Monotonic time of the server's clock at which the request was complete, in
        seconds.
    version
        Version of HTTP that the caller speaks.
    """

    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes
    keep_alive: bool
    received_at: float
    version: str = CHUNKED_VERSION


class RefusedError(Exception):
    """A request is rejected while it is being read."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the request is refused with status {status}")
        self.status = status


def check_framing(version: str, headers: HeaderPairs) -> int:
    """Return the content length, or 0 if there is none.

    Raises RefusedError for ambiguous framing, which could be used for request
    smuggling, for other versions than HTTP/1.0 and HTTP/1.1, and unless there is
    exactly one Host header.
    """
    if version not in (CHUNKED_VERSION, "1.0"):
        raise RefusedError(400)
    lengths = [value for name, value in headers if name.lower() == b"content-length"]
    codings = [
        value.strip().lower()
        for name, value in headers
        if name.lower() == b"transfer-encoding"
    ]
    hosts = [value for name, value in headers if name.lower() == b"host"]
    if len(hosts) != 1 or len(lengths) > 1 or len(codings) > 1:
        raise RefusedError(400)
    is_chunked = codings == [b"chunked"] and version == CHUNKED_VERSION
    if codings and (lengths or not is_chunked):
        raise RefusedError(400)
    if not lengths:
        return 0
    if not lengths[0].isdigit():
        raise RefusedError(400)
    return int(lengths[0])
