"""One structured line for each decision on a request or change of belief."""

from __future__ import annotations

import json
import logging
from typing import Any, Final

from gypsumsail.core.clock import Clock
from gypsumsail.logs.line_writer import LineWriter

LINES_PER_SECOND: Final = 150.0
"""Lines that a process may write in the long run; those dropped are counted."""
BURST_LINES: Final = 600.0
"""Lines that a process may write in a burst."""

LOGGER_NAME: Final = "gypsumsail"


class DecisionFormatter(logging.Formatter):
    """One JSON object a line, with the fields that the record carries."""

    def __init__(self, vm: str) -> None:
        super().__init__()
        self.vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
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
    """Writes decisions within a bounded rate.

    Attributes
    ----------
    dropped
        Lines over the rate since the last line that said so.
    total_dropped
        Lines over the rate since the start.
    """

    def __init__(self, clock: Clock, logger: logging.Logger | None = None) -> None:
        self.clock = clock
        self.logger = logger or logging.getLogger(LOGGER_NAME)
        self.tokens = BURST_LINES
        self.refilled_at = clock.monotonic()
        self.dropped = 0
        self.total_dropped = 0

    def write(self, event: str, /, **fields: Any) -> None:
        """Write one line, or count it as dropped when there are too many."""
        if not self._take_token():
            self.dropped += 1
            self.total_dropped += 1
            return
        if self.dropped:
            fields["lines_dropped"] = self.dropped
            self.dropped = 0
        self.logger.info(event, extra={"fields": fields})

    def _take_token(self) -> bool:
        now = self.clock.monotonic()
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(self.tokens + refill, BURST_LINES)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class _LineHandler(logging.Handler):
    """Hands lines to a writer that is flushed by the loop."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        self.writer.write(self.format(record) + "\n")


def setup_decision_log(vm: str, descriptor: int) -> LineWriter:
    """Send all log lines of the process to a descriptor, one JSON object a line."""
    writer = LineWriter(descriptor)
    handler = _LineHandler(writer)
    handler.setFormatter(DecisionFormatter(vm))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    return writer
