"""Timestamps of the hybrid logical clock, which are sent with each frame.

With them, events of the receiver that follow a message get a later position in the
timeline than the events of the sender before it, even if the VM clocks differ.
"""

from __future__ import annotations

import struct
from typing import Final, Protocol

from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.timeline.hlc import ZERO_TIMESTAMP, Timestamp

_FORMAT: Final = struct.Struct(">QI")
MAX_COUNTER: Final = 2**32 - 1


class HybridClock(Protocol):
    """Hybrid logical clock of this process; the timeline recorder implements it."""

    def timestamp(self) -> Timestamp:
        """Return the timestamp to send with a message."""

    def observe(self, remote: Timestamp) -> bool:
        """Advance the clock to the timestamp of a message from another process."""


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
    return _FORMAT.pack(stamp.wall_ms, min(stamp.counter, MAX_COUNTER)) + body


def split_timestamp(data: bytes) -> tuple[Timestamp, bytes]:
    """Split a frame into timestamp and body; raises MessageInvalidError."""
    if len(data) < _FORMAT.size:
        raise MessageInvalidError("frame is too short for a timestamp")
    wall_ms, counter = _FORMAT.unpack_from(data)
    return Timestamp(wall_ms, counter), data[_FORMAT.size :]
