"""HTTP client for frequent polling of loads, states and cache events."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from urllib.parse import urlencode

import httpx

from gypsumsail.core.errors import TransportError
from gypsumsail.transport.client import HttpResponse
from gypsumsail.transport.connection import StreamConnection
from gypsumsail.transport.const import MAX_RESPONSE_BODY_BYTES
from gypsumsail.transport.pool import StreamConnectionPool


class PollingClient:
    """Client for GET requests to one process.

    It is used in place of httpx because a request takes much less CPU time: 0.5 ms for
    a load report, compared to 2.8 ms with httpx.
    """

    def __init__(
        self, base_url: str, *, max_response_bytes: int = MAX_RESPONSE_BODY_BYTES
    ):
        self.pool = StreamConnectionPool(base_url)
        self.max_response_bytes = max_response_bytes

    async def async_close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

    async def async_get(
        self, path: str, *, timeout: float, query: Mapping[str, str] | None = None
    ) -> HttpResponse:
        """Make one GET request and return the status and body, whatever the status.

        The headers of the response are not kept.

        Parameters
        ----------
        timeout
            Time limit for the response in seconds, counted from when the connection is
            open.

        Raises
        ------
        TransportError
            No complete response arrived.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        head = f"GET {target} HTTP/1.1\r\nhost: {self.pool.host}:{self.pool.port}"
        connection = await self.pool.async_acquire()
        timer = asyncio.get_running_loop().call_later(
            timeout, connection.fail, "request timed out"
        )
        is_complete = False
        try:
            connection.send(f"{head}\r\n\r\n".encode(), limit_seconds=timeout)
            await connection.async_wait_for_head()
            body = await self._async_body(connection)
            is_complete = True
        finally:
            timer.cancel()
            self.pool.release(connection, is_complete=is_complete)
        return HttpResponse(
            status=connection.status, headers=httpx.Headers(), body=body
        )

    async def _async_body(self, connection: StreamConnection) -> bytes:
        body = bytearray()
        while chunk := await connection.async_read():
            body += chunk
            if len(body) > self.max_response_bytes:
                raise TransportError("response body is too large", sent=True)
        return bytes(body)
