"""Tells whether a server has taken a whole request.

A response without a length ends with its connection. A server that ends it while the
request is still on its way may have failed: a reset then follows, of the server or of
its kernel, for the bytes that were not read. The response is not known to be whole.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from typing import Final, Protocol

POLL_SECONDS: Final = 0.02
STALL_SECONDS: Final = 1.0
"""Time without any progress after which the rest of a request counts as not taken."""
LONG_REQUEST_BYTES: Final = 64 * 1024
"""Size from which a request may lie unread in the buffers of the server's kernel."""
RESET_WAIT_SECONDS: Final = 0.3
"""Time in which no reset may follow the end of the response to a long request."""
END_BEFORE_REQUEST: Final = (
    "the response ended with its connection before the server had taken the request"
)
_INT: Final = struct.Struct("i")


class RequestSocket(Protocol):
    """Socket over which a request was sent."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    def getsockopt(self, level: int, optname: int) -> int:
        """Return the value of an option."""


def unacknowledged_bytes(
    connection: RequestSocket, transport: asyncio.WriteTransport | None = None
) -> int:
    """Return the number of bytes that the server's kernel has not acknowledged.

    The server's end of a connection acknowledges all that had arrived before.

    Parameters
    ----------
    transport
        Transport whose buffer may hold some of them; ``None`` for an empty buffer.
    """
    found = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, _INT.pack(0))
    buffered = 0 if transport is None else transport.get_write_buffer_size()
    return int(_INT.unpack(found)[0]) + buffered


class DeliveryProgress:
    """Decides whether a server has taken a request whose response has ended.

    What the server's kernel has taken may still be unread. That shows in a reset, which
    follows as the server closes its socket.

    Parameters
    ----------
    request_bytes
        Size of the request.
    now
        Time at which the response ended, in seconds.
    """

    def __init__(self, request_bytes: int, now: float) -> None:
        self.is_long = request_bytes >= LONG_REQUEST_BYTES
        self.left = request_bytes
        self.changed_at = now

    def update(self, left: int, now: float) -> bool | None:
        """Return whether the request was taken; ``None`` while that is open.

        Parameters
        ----------
        left
            Number of bytes that the server's kernel has not acknowledged.
        """
        if left < self.left:
            self.left, self.changed_at = left, now
        unchanged_seconds = now - self.changed_at
        if left:
            return None if unchanged_seconds < STALL_SECONDS else False
        if self.is_long and unchanged_seconds < RESET_WAIT_SECONDS:
            return None
        return True


async def async_is_taken(
    connection: RequestSocket,
    transport: asyncio.WriteTransport | None = None,
    *,
    request_bytes: int,
) -> bool:
    """Return whether the server has taken a request whose response has ended.

    Waits while the server goes on to take it. The connection must be open.

    Parameters
    ----------
    transport
        See ``unacknowledged_bytes``.
    request_bytes
        Size of the request.
    """
    loop = asyncio.get_running_loop()
    progress = DeliveryProgress(request_bytes, loop.time())
    while transport is None or not transport.is_closing():
        left = unacknowledged_bytes(connection, transport)
        if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return False
        is_taken = progress.update(left, loop.time())
        if is_taken is not None:
            return is_taken
        await asyncio.sleep(POLL_SECONDS)
    return False
