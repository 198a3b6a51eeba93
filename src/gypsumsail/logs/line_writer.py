"""Writes log lines without ever blocking the loop."""

from __future__ import annotations

from collections import deque
import os
from typing import Final

MOST_WAITING_BYTES: Final = 512 * 1024
"""Bytes of lines that wait for a reader who is slow; further lines are dropped."""


class LineWriter:
    """A text stream over a file descriptor that drops lines rather than wait.

    Attributes
    ----------
    dropped
        Lines that were dropped and not yet reported.
    """

    def __init__(self, descriptor: int, most_waiting: int = MOST_WAITING_BYTES) -> None:
        self.descriptor = descriptor
        self.most_waiting = most_waiting
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one or more whole lines."""
        data = text.encode("utf-8", "replace")
        if self.waiting_bytes + len(data) > self.most_waiting:
            self.dropped += 1
            return len(text)
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.waiting:
            data = self.waiting[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self.dropped += len(self.waiting)
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(data):
                self.waiting[0] = data[written:]
                return
            self.waiting.popleft()
