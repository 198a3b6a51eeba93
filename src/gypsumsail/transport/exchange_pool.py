"""Pool of client connections to one address that carry one exchange at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.transport.exchange import ExchangeConnection

UNUSED_LIMIT_SECONDS: Final = 2.0
"""Longest time a connection is kept that has not carried any exchange yet.

Servers announce their keep-alive timeout only with a response.
"""


class ExchangePool:
    """Pool of idle connections to one address."""

    def __init__(self, host: str, port: int, connect_timeout: float) -> None:
        self.host = host
        self.port = port
        self.connect_timeout = connect_timeout
        self.idle: deque[ExchangeConnection] = deque()

    @callback
    def close(self) -> None:
        """Close the idle connections; exchanges in progress continue."""
        while self.idle:
            self.idle.pop().abort()

    @callback
    def take_idle(self, request_id: bytes | None = None) -> ExchangeConnection | None:
        """Return the most recently used idle connection, or ``None``.

        Parameters
        ----------
        request_id
            Id of the request; a connection is left out that has carried an error in
            answer to a request with this id, which could come once more.
        """
        left_out = []
        taken = None
        while self.idle and taken is None:
            found = self.idle.pop()
            if not found.is_reusable or found.loop.time() >= found.idle_until:
                found.abort()
            elif request_id in found.error_ids:
                left_out.append(found)
            else:
                taken = found
        self.idle.extend(reversed(left_out))
        return taken

    async def async_connect(self) -> ExchangeConnection:
        """Open a connection; raises TransportError with ``sent`` false."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, connection = await loop.create_connection(
                    lambda: ExchangeConnection(f"{self.host}:{self.port}"),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as err:
            message = f"connect: {type(err).__name__}"
            raise TransportError(message, sent=False) from err
        return connection

    async def async_add_idle(self) -> None:
        """Open a connection and add it to the pool; raises TransportError."""
        connection = await self.async_connect()
        connection.idle_until = connection.loop.time() + UNUSED_LIMIT_SECONDS
        # Connections that have carried an exchange are taken before this one.
        self.idle.appendleft(connection)

    async def async_acquire(
        self, request_id: bytes | None = None
    ) -> ExchangeConnection:
        """Return an idle connection, or open a new one; see ``take_idle``."""
        return self.take_idle(request_id) or await self.async_connect()

    @callback
    def release(self, connection: ExchangeConnection) -> None:
        """Return a connection to the pool.

        Closes it if its response is incomplete or not fully read.
        """
        if connection.is_reusable and not connection.chunks:
            connection.is_in_use = False
            self.idle.append(connection)
        else:
            connection.abort()
