"""Timestamps of the hybrid clock that travel with each frame.

They let later events of the receiver follow earlier ones of the sender in the time
line, whatever the clocks of the VMs show.
"""

from __future__ import annotations

import struct
from typing import Final, Protocol

from gypsumsail.peers.errors import MessageInvalidError
from gypsumsail.timeline.hlc import ZERO_TIMESTAMP, Timestamp

_FORMAT: Final = struct.Struct(">QI")
MAX_COUNTER: Final = 2**32 - 1


class Stamps(Protocol):
    """Hybrid clock of this process; the time line's recorder is one."""

    def timestamp(self) -> Timestamp:
        """Return the timestamp to send along with a message."""

    def observe(self, remote: Timestamp) -> bool:
        """Take over the timestamp of a message from another process."""


class NoStamps:
    """Clock of a process that keeps no time line."""

    def timestamp(self) -> Timestamp:
        """Return the start of time, which nothing follows from."""
        return ZERO_TIMESTAMP

    def observe(self, remote: Timestamp) -> bool:
        """Ignore a timestamp."""
        return True


def put_stamp(stamp: Timestamp, body: bytes) -> bytes:
    """Return the body of a frame behind its timestamp."""
    return _FORMAT.pack(stamp.wall_ms, min(stamp.counter, MAX_COUNTER)) + body


def take_stamp(data: bytes) -> tuple[Timestamp, bytes]:
    """Return timestamp and body; raises MessageInvalidError."""
    if len(data) < _FORMAT.size:
        raise MessageInvalidError("frame has no timestamp")
    wall_ms, counter = _FORMAT.unpack_from(data)
    return Timestamp(wall_ms, counter), data[_FORMAT.size :]
