"""Log formatters that write one line per record."""

from __future__ import annotations

from datetime import UTC, datetime
import json
import logging
import traceback

from gypsumsail.logs.const import MAX_MESSAGE_CHARACTERS, MAX_TRACEBACK_CHARACTERS
from gypsumsail.logs.redact import Redactor
from gypsumsail.logs.request import current_request_id


class LineFormatter(logging.Formatter):
    """Base class that formats and redacts the parts of a line.

    Attributes
    ----------
    entry
        Name of the entry process that writes the line.
    redactor
        Removes keys and callers' texts from messages.
    """

    def __init__(self, entry: str, redactor: Redactor) -> None:
        super().__init__()
        self.entry = entry
        self.redactor = redactor

    def format_timestamp(self, record: logging.LogRecord) -> str:
        """Return the time of a record as ISO 8601 in UTC."""
        time = datetime.fromtimestamp(record.created, UTC)
        return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")

    def redact_message(self, record: logging.LogRecord) -> str:
        """Return the message, redacted and truncated to ``MAX_MESSAGE_CHARACTERS``."""
        return self.redactor.redact(record.getMessage())[:MAX_MESSAGE_CHARACTERS]

    def format_traceback(self, record: logging.LogRecord) -> str:
        """Return the exception type and the locations of the stack frames.

        The parts are separated by ``<``, the innermost frame first. The exception
        message is omitted, because libraries put input data into it.
        """
        if not record.exc_info or record.exc_info[0] is None:
            return ""
        frames = traceback.extract_tb(record.exc_info[2])
        locations = [
            f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames
        ]
        text = " < ".join([record.exc_info[0].__name__, *reversed(locations)])
        return text[:MAX_TRACEBACK_CHARACTERS]


class JsonFormatter(LineFormatter):
    """Formats a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the formatted line."""
        line = {
            "time": self.format_timestamp(record),
            "level": record.levelname.lower(),
            "entry": self.entry,
            "request": current_request_id(),
            "logger": record.name,
            "message": self.redact_message(record),
        }
        if error := self.format_traceback(record):
            line["error"] = error
        return json.dumps(line, ensure_ascii=False)


class TextFormatter(LineFormatter):
    """Formats a record as one human-readable line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the formatted line."""
        message = self.redact_message(record).replace("\n", "\\n").replace("\r", "\\r")
        line = (
            f"{self.format_timestamp(record)} {record.levelname} {self.entry} "
            f"{current_request_id()} {record.name}: {message}"
        )
        error = self.format_traceback(record)
        return f"{line} [{error}]" if error else line
