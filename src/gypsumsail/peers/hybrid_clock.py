"""Timestamps of the hybrid logical clock, which are sent with each frame.

An event that the receiver records after a message sorts after every event that the
sender recorded before sending it, even if the clocks of their VMs differ.
"""

from __future__ import annotations

import struct
from typing import Final, Protocol

from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.timeline.hlc import ZERO_TIMESTAMP, Timestamp

_TIMESTAMP_FORMAT: Final = struct.Struct(">QI")
"""Wall time in milliseconds (64 bits) and counter (32 bits)."""
MAX_COUNTER: Final = 2**32 - 1


class HybridClock(Protocol):
    """Hybrid logical clock of this process; the timeline recorder implements it."""

    def timestamp(self) -> Timestamp:
        """Return the timestamp to send with a message."""

    def observe(self, remote: Timestamp) -> bool:
        """Advance the clock to the timestamp of a message.

        Returns false if the timestamp is too far ahead of this clock to be adopted.
        """


class NullHybridClock:
    """Clock of a process that records no timeline."""

    def timestamp(self) -> Timestamp:
        """Return the earliest timestamp, which does not advance any other clock."""
        return ZERO_TIMESTAMP

    def observe(self, remote: Timestamp) -> bool:
        """Ignore a timestamp."""
        return True


def prepend_timestamp(stamp: Timestamp, body: bytes) -> bytes:
    """Prepend a timestamp to the body of a frame."""
    return _TIMESTAMP_FORMAT.pack(stamp.wall_ms, min(stamp.counter, MAX_COUNTER)) + body


def split_timestamp(data: bytes) -> tuple[Timestamp, bytes]:
    """Split authenticated frame data into timestamp and body.

    Raises MessageInvalidError if the data is too short.
    """
    if len(data) < _TIMESTAMP_FORMAT.size:
        raise MessageInvalidError("frame is too short for a timestamp")
    wall_ms, counter = _TIMESTAMP_FORMAT.unpack_from(data)
    return Timestamp(wall_ms, counter), data[_TIMESTAMP_FORMAT.size :]
