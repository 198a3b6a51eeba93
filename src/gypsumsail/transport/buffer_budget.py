"""One limit for the bytes that all connections of a process buffer together."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from gypsumsail.core.callback import callback

MAX_BUFFERED_BYTES: Final = 64 * 1024 * 1024
"""Maximum number of bytes that all connections buffer together."""
BASE_MEMORY_BYTES: Final = 64 * 1024 * 1024
"""Memory of a process besides these buffers."""
MEMORY_PER_BUFFERED_BYTE: Final = 4
"""Memory that a buffered byte may take, with its copies as it is passed on."""
MIN_COUNTED_BYTES: Final = 4 * 1024
"""Size from which the buffer of a connection is counted."""
BUFFERS_FULL: Final = "buffers full"


@dataclass(frozen=True, slots=True, kw_only=True)
class CutOffAnswer:
    """An answer that was cut off because of its size.

    Attributes
    ----------
    peer
        Address of the other end of the connection.
    reason
        Limit that was exceeded: ``headers``, ``framing``, ``body`` or ``buffers
        full``.
    size
        Number of bytes that were buffered.
    """

    peer: str
    reason: str
    size: int


class BufferOwner(Protocol):
    """A connection with a buffer."""

    @property
    def peer(self) -> str:
        """Return the address of the other end."""

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes in its buffer."""

    @callback
    def cut_off(self, reason: str) -> None:
        """Close the connection and drop its buffer."""


def buffer_limit(memory_bytes: int) -> int:
    """Return the maximum number of buffered bytes.

    Parameters
    ----------
    memory_bytes
        Memory of the VM; 0 if it is unknown.
    """
    if not memory_bytes:
        return MAX_BUFFERED_BYTES
    free = max(memory_bytes - BASE_MEMORY_BYTES, BASE_MEMORY_BYTES // 4)
    return min(free // MEMORY_PER_BUFFERED_BYTE, MAX_BUFFERED_BYTES)


class BufferBudget:
    """Cuts off the largest answers when all buffers together are too large.

    Of the peer whose connections buffer most, the largest buffer is dropped. Therefore
    a peer that sends without end loses its own answers, and not those of others, over
    however many connections it sends. Small buffers are not counted.

    Attributes
    ----------
    total
        Number of bytes in the counted buffers, when each was last updated.
    on_cut_off
        Called with each answer that is cut off.
    """

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.sizes: dict[BufferOwner, int] = {}
        self.total = 0
        self.on_cut_off: Callable[[CutOffAnswer], None] = lambda answer: None

    @callback
    def update(self, owner: BufferOwner) -> None:
        """Count the buffer of a connection, whose size has changed."""
        self._count(owner, owner.buffered_bytes)
        if self.total > self.limit_bytes:
            self._cut_off_largest()

    @callback
    def forget(self, owner: BufferOwner) -> None:
        """Count a connection's buffer no more."""
        self.total -= self.sizes.pop(owner, 0)

    @callback
    def report(self, owner: BufferOwner, reason: str) -> None:
        """Report an answer that its connection cuts off."""
        self.on_cut_off(
            CutOffAnswer(peer=owner.peer, reason=reason, size=owner.buffered_bytes)
        )

    def _count(self, owner: BufferOwner, size: int) -> None:
        self.forget(owner)
        if size >= MIN_COUNTED_BYTES:
            self.sizes[owner] = size
            self.total += size

    def _cut_off_largest(self) -> None:
        for owner in list(self.sizes):
            self._count(owner, owner.buffered_bytes)
        while self.total > self.limit_bytes:
            by_peer: dict[str, int] = {}
            for owner, size in self.sizes.items():
                by_peer[owner.peer] = by_peer.get(owner.peer, 0) + size
            largest = max(
                self.sizes, key=lambda item: (by_peer[item.peer], self.sizes[item])
            )
            self.report(largest, BUFFERS_FULL)
            self.forget(largest)
            largest.cut_off(BUFFERS_FULL)


process_buffers: Final = BufferBudget()
"""Budget of all connections of this process."""
