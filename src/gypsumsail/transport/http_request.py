"""Requests of callers, their limits, and what makes one ambiguous."""

from __future__ import annotations

from dataclasses import dataclass

HeaderPairs = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """What a caller may send and how long it may take.

    Attributes
    ----------
    head_seconds
        Time from the first byte of a request to its last, while it still sends.
    idle_seconds
        Time that a connection may stay open without a request.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(slots=True)
class HttpRequest:
    """One whole request as it was read.

    Attributes
    ----------
    target
        Request target exactly as it was sent.
    headers
        Names as sent, values without surrounding space, in order.
    received_at
        Time of the server's clock at which it was read whole.
    """

    method: bytes
    target: bytes
    headers: HeaderPairs
    body: bytes
    keep_alive: bool
    received_at: float


class RefusedError(Exception):
    """A request breaks a limit while it is read."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def check_framing(headers: HeaderPairs) -> int:
    """Return the announced length, 0 for none; refuse framing that is ambiguous."""
    lengths = [value for name, value in headers if name.lower() == b"content-length"]
    codings = [value for name, value in headers if name.lower() == b"transfer-encoding"]
    hosts = [value for name, value in headers if name.lower() == b"host"]
    if len(hosts) != 1 or len(lengths) > 1 or len(codings) > 1:
        raise RefusedError(400)
    if codings and (lengths or codings[0].strip().lower() != b"chunked"):
        raise RefusedError(400)
    if not lengths:
        return 0
    if not lengths[0].isdigit():
        raise RefusedError(400)
    return int(lengths[0])
