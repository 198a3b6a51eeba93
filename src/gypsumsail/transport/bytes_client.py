"""HTTP client for short calls to one address, without retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
import math
from typing import Final
from urllib.parse import urlencode

from gypsumsail.core.clock import Clock, SystemClock
from gypsumsail.core.errors import TransportError
from gypsumsail.transport.exchange import ExchangeConnection, RequestIdHeader
from gypsumsail.transport.exchange_pool import ExchangePool

SHORT_CALL_CONNECT_TIMEOUT_SECONDS: Final = 0.5
SHORT_CALL_MAX_BODY_BYTES: Final = 4 * 1024 * 1024
"""Maximum size of a response whose call names no lower limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BytesResponse:
    """Status, body and headers of a response; header names are in lowercase."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class BytesClient:
    """Makes short calls to one address over persistent connections.

    Connecting has a shorter time limit than in ``HttpClient``.
    """

    def __init__(self, host: str, port: int, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.authority = f"{host}:{port}"
        self.pool = ExchangePool(host, port, SHORT_CALL_CONNECT_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

    async def async_call(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        request_id: RequestIdHeader | None = None,
        not_after: float = math.inf,
        on_written: Callable[[ExchangeConnection], None] | None = None,
        max_body_bytes: int = SHORT_CALL_MAX_BODY_BYTES,
        body_seconds: float = 0.0,
    ) -> BytesResponse:
        """Make one call and return its response, whatever its status.

        Parameters
        ----------
        timeout
            Time limit in seconds. The kernel sends the request for this time at most
            after it was written.
        not_after
            Monotonic time from which the request may no longer be written.
        request_id
            Header with an id that the server repeats, its name in lower case. A
            response with another id is skipped: it is a second copy of an earlier one.
        on_written
            Called with the connection once the request is written to it.
        max_body_bytes
            Maximum size of the body of the response.
        body_seconds
            Seconds for which the body may arrive once its head has come, if that is
            later than ``timeout``.

        Raises
        ------
        TransportError
            No complete response arrived; ``sent`` tells whether the call may have
            taken effect.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        request = encode_short_call(
            method, target, self.authority, headers or {}, request_id, body
        )
        is_sent = False
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout
        try:
            async with asyncio.timeout_at(ends_at) as limit:
                connection = await self.pool.async_acquire()
                try:
                    if self.clock.monotonic() >= not_after:
                        message = f"{method} {path}: too late to be sent"
                        raise TransportError(message, sent=False)
                    is_sent = True
                    return await async_call_over(
                        connection,
                        request,
                        request_id,
                        limit_seconds=timeout,
                        on_written=on_written,
                        on_head=lambda: limit.reschedule(
                            max(ends_at, loop.time() + body_seconds)
                        ),
                        max_body_bytes=max_body_bytes,
                    )
                finally:
                    self.pool.release(connection)
        except TimeoutError as err:
            message = f"{method} {path}: no response within {timeout:g} s"
            raise TransportError(message, sent=is_sent) from err


async def async_call_over(
    connection: ExchangeConnection,
    request: bytes,
    request_id: RequestIdHeader | None = None,
    *,
    limit_seconds: float,
    on_written: Callable[[ExchangeConnection], None] | None = None,
    on_head: Callable[[], None] = lambda: None,
    max_body_bytes: int = SHORT_CALL_MAX_BODY_BYTES,
) -> BytesResponse:
    """Make one short call over a connection and return its response.

    Parameters
    ----------
    request_id, on_written, max_body_bytes
        See ``BytesClient.async_call``.
    limit_seconds
        See ``ExchangeConnection.send``.
    on_head
        Called when the head of the response has come.

    Raises
    ------
    TransportError
        No complete response arrived.
    """
    connection.send(request, request_id, may_lack_id=True, limit_seconds=limit_seconds)
    if on_written is not None:
        on_written(connection)
    await connection.async_wait_for_head()
    on_head()
    data = await connection.async_read_all(max_body_bytes)
    return BytesResponse(
        status=connection.status, body=data, headers=tuple(connection.headers)
    )


def encode_short_call(
    method: str,
    target: str,
    authority: str,
    headers: Mapping[str, str],
    request_id: RequestIdHeader | None = None,
    body: bytes | None = None,
) -> bytes:
    """Encode the request of a short call."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {authority}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if request_id is not None:
        name, value = request_id
        lines.append(f"{name.decode()}: {value.decode()}")
    if body is not None or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body or b'')}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")
