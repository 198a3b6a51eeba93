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
NO_LIMIT: Final = 0
"""Value of ``TCP_USER_TIMEOUT`` with which the kernel sends on for minutes."""
KERNEL_DELAY_SECONDS: Final = 0.45
"""Time to the first retransmission, from which the kernel counts its limit.

A probe precedes it. It is longer on links with a round trip above some milliseconds.
"""

SocketOption = tuple[int, int, int] | tuple[int, int, bytes]
"""Level, name and value of an option."""


def sending_options(limit_seconds: float) -> list[SocketOption]:
    """Return the options of `reset_on_close` and `limit_sending` for a new socket."""
    return [
        (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _whole_ms(limit_seconds)),
    ]


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Let a connection be reset when it is closed, also by the end of the process.

    Otherwise the kernel goes on sending what is not acknowledged yet, for minutes.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )


def limit_sending(transport: asyncio.BaseTransport, seconds: float | None) -> None:
    """Let the kernel end a connection whose bytes stay unacknowledged for a time.

    It does so also while the process is paused, but up to ``KERNEL_DELAY_SECONDS``
    later. ``None`` stands for no limit.
    """
    transport.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        NO_LIMIT if seconds is None else _whole_ms(seconds),
    )


def _whole_ms(seconds: float) -> int:
    return max(NO_LIMIT + 1, math.ceil(seconds * MILLISECONDS_PER_SECOND))
