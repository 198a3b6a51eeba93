"""Options that keep the kernel from delivering a call that was given up."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
from typing import Final

from gypsumsail.core.units import MILLISECONDS_PER_SECOND

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: discard unsent bytes, and reset the connection."""
FIRST_RETRANSMISSION_SECONDS: Final = 0.2
"""Time to the first retransmission, from which the kernel counts its limit."""
MIN_LIMIT_SECONDS: Final = 0.1


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let a connection be reset when it is closed, also by the end of the process.

    Otherwise the kernel goes on sending what is not acknowledged yet, for minutes.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )


def limit_sending(transport: asyncio.BaseTransport, seconds: float) -> None:
    """Let the kernel end a connection whose bytes stay unacknowledged for a time.

    It does so also while the process is paused.
    """
    limit = max(seconds - FIRST_RETRANSMISSION_SECONDS, MIN_LIMIT_SECONDS)
    transport.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        math.ceil(limit * MILLISECONDS_PER_SECOND),
    )
