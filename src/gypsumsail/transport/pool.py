"""Connection pool for one address; each connection handles one request at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from urllib.parse import urlsplit

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.transport.connection import StreamConnection
from gypsumsail.transport.const import (
    CONNECT_TIMEOUT_SECONDS,
    IDLE_CONNECTION_SECONDS,
    IDLE_CONNECTIONS_PER_CLIENT,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class IdleConnection:
    """An idle connection and the event loop time since which it is idle."""

    connection: StreamConnection
    idle_since: float


class StreamConnectionPool:
    """Pool of connections to one address.

    A connection is reused only after a complete response; after a cancelled or
    incomplete one it is closed.
    """

    def __init__(self, base_url: str) -> None:
        parts = urlsplit(base_url)
        if parts.scheme != "http" or parts.hostname is None:
            raise ValueError("the URL must be http://HOST:PORT")
        self.host = parts.hostname
        self.port = parts.port or 80
        self.idle: deque[IdleConnection] = deque()

    @callback
    def close(self) -> None:
        """Close the idle connections; responses in progress continue."""
        while self.idle:
            self.idle.pop().connection.abort()

    async def async_acquire(self) -> StreamConnection:
        """Return an idle connection, or open a new one.

        Raises
        ------
        TransportError
            The address cannot be reached; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        oldest = loop.time() - IDLE_CONNECTION_SECONDS
        while self.idle:
            found = self.idle.pop()
            if found.idle_since >= oldest and found.connection.is_reusable:
                return found.connection
            found.connection.abort()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    StreamConnection, self.host, self.port
                )
        except (OSError, TimeoutError) as err:
            message = f"connect: {type(err).__name__}"
            raise TransportError(message, sent=False) from err
        return connection

    @callback
    def release(self, connection: StreamConnection, *, is_complete: bool) -> None:
        """Return a connection to the pool.

        Closes it if its response is incomplete or the pool is full.
        """
        has_room = len(self.idle) < IDLE_CONNECTIONS_PER_CLIENT
        if not (is_complete and has_room and connection.is_reusable):
            connection.abort()
            return
        now = asyncio.get_running_loop().time()
        self.idle.append(IdleConnection(connection=connection, idle_since=now))
