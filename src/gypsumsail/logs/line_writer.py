"""Writes log lines without ever blocking the loop."""

from __future__ import annotations

from collections import deque
import os
from typing import Final

MAX_BUFFERED_BYTES: Final = 512 * 1024
"""Bytes of lines that wait for a reader who is slow; further lines are dropped."""


class LineWriter:
    """A text stream over a file descriptor that drops lines rather than wait.

    Attributes
    ----------
    dropped
        Lines that were dropped and not yet reported.
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
        """Take one or more whole lines."""
        data = text.encode("utf-8", "replace")
        if self.buffered_bytes + len(data) > self.max_buffered_bytes:
            self.dropped += 1
            return len(text)
        self.buffer.append(data)
        self.buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.buffer:
            data = self.buffer[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self.dropped += len(self.buffer)
                self.buffer.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(data):
                self.buffer[0] = data[written:]
                return
            self.buffer.popleft()
