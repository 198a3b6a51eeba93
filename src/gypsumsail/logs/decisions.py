"""Rate-limited structured log of request decisions and observed state changes."""

from __future__ import annotations

import json
import logging
from typing import Any, Final

from gypsumsail.core.clock import Clock
from gypsumsail.logs.line_writer import LineWriter

LINES_PER_SECOND: Final = 150.0
"""Sustained rate limit of a process; lines over the limit are dropped and counted."""
BURST_LINES: Final = 600.0
"""Lines that may be written at once: capacity of the token bucket."""

LOGGER_NAME: Final = "gypsumsail"


class DecisionFormatter(logging.Formatter):
    """Formats a log record and its extra fields as one line of JSON.

    Nothing is redacted. Of a traceback, only the last 2000 characters are kept.
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self.vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of JSON."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "vm": self.vm,
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info and record.exc_info[0] is not None:
            line["error"] = self.formatException(record.exc_info)[-2000:]
        return json.dumps(line, separators=(",", ":"), default=str)


class DecisionLog:
    """Writes decision lines, rate-limited by a token bucket.

    Attributes
    ----------
    tokens
        Lines that may be written now.
    unreported_drops
        Number of dropped lines that no written line has reported yet.
    total_dropped
        Number of lines dropped since the process started.
    """

    def __init__(self, clock: Clock, logger: logging.Logger | None = None) -> None:
        self.clock = clock
        self.logger = logger or logging.getLogger(LOGGER_NAME)
        self.tokens = BURST_LINES
        self.refilled_at = clock.monotonic()
        self.unreported_drops = 0
        self.total_dropped = 0

    def write(self, event: str, /, **fields: Any) -> None:
        """Write one line, or drop and count it if the rate limit is exceeded."""
        if not self._take_line():
            self.unreported_drops += 1
            self.total_dropped += 1
            return
        if self.unreported_drops:
            fields["lines_dropped"] = self.unreported_drops
            self.unreported_drops = 0
        self.logger.info(event, extra={"fields": fields})

    def _take_line(self) -> bool:
        now = self.clock.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(self.tokens + refill, BURST_LINES)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class _LineHandler(logging.Handler):
    """Log handler that passes lines to a writer, which the event loop flushes."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Format the record and add it to the buffer of the writer."""
        self.writer.write(self.format(record) + "\n")


def setup_json_log(vm: str, descriptor: int) -> LineWriter:
    """Route all log records of the process to a descriptor as lines of JSON.

    For processes that are not entries; entries use ``setup_logs`` instead. Replaces
    the handlers of the root logger.
    """
    writer = LineWriter(descriptor)
    handler = _LineHandler(writer)
    handler.setFormatter(DecisionFormatter(vm))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    return writer
