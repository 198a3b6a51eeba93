"""Non-blocking writer of log lines for the event loop."""

from __future__ import annotations

from collections import deque
import os
from typing import Final

MAX_BUFFERED_BYTES: Final = 512 * 1024
"""Limit of bytes buffered for a slow reader; further lines are dropped."""


class LineWriter:
    """Buffers lines for a file descriptor and drops them instead of blocking.

    Attributes
    ----------
    dropped
        Number of write calls whose text was dropped.
    """

    def __init__(
        self, descriptor: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self.descriptor = descriptor
        self.max_buffered_bytes = max_buffered_bytes
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Add one or more complete lines to the buffer, or drop them if it is full.

        Returns the number of characters, as file objects do, also if the text was
        dropped.
        """
        data = text.encode("utf-8", "replace")
        if self.buffered_bytes + len(data) > self.max_buffered_bytes:
            self.dropped += 1
            return len(text)
        self.buffer.append(data)
        self.buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self.buffer:
            data = self.buffer[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe. The error cannot be logged, because
                # this is the log itself.
                self.dropped += len(self.buffer)
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(data):
                self.buffer[0] = data[written:]
                return
            self.buffer.popleft()
