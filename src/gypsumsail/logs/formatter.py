"""Formats log records as one line each."""

from __future__ import annotations

from datetime import UTC, datetime
import json
import logging
import traceback

from gypsumsail.logs.const import MAX_MESSAGE_LENGTH, MAX_TRACEBACK_LENGTH
from gypsumsail.logs.redact import Redactor
from gypsumsail.logs.request import current_request_id


class LineFormatter(logging.Formatter):
    """Base of the formatters: collects what a line shows.

    Attributes
    ----------
    entry
        Name of this entry.
    redactor
        Takes keys and caller's texts out of messages and tracebacks.
    """

    def __init__(self, entry: str, redactor: Redactor) -> None:
        super().__init__()
        self.entry = entry
        self.redactor = redactor

    def time_of(self, record: logging.LogRecord) -> str:
        """Return the time of a record in UTC."""
        at = datetime.fromtimestamp(record.created, UTC)
        return at.isoformat(timespec="milliseconds").replace("+00:00", "Z")

    def message_of(self, record: logging.LogRecord) -> str:
        """Return the message, redacted and cut to its limit."""
        return self.redactor.clean(record.getMessage())[:MAX_MESSAGE_LENGTH]

    def traceback_of(self, record: logging.LogRecord) -> str:
        """Return the places of the stack and the type of the error.

        The message of an unforeseen error is left out: libraries put input
        into it.
        """
        if not record.exc_info or record.exc_info[0] is None:
            return ""
        frames = traceback.extract_tb(record.exc_info[2])
        places = [f"{frame.filename}:{frame.lineno} {frame.name}" for frame in frames]
        text = " < ".join([record.exc_info[0].__name__, *reversed(places)])
        return text[:MAX_TRACEBACK_LENGTH]


class JsonFormatter(LineFormatter):
    """One JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        line = {
            "time": self.time_of(record),
            "level": record.levelname.lower(),
            "entry": self.entry,
            "request": current_request_id(),
            "logger": record.name,
            "message": self.message_of(record),
        }
        if error := self.traceback_of(record):
            line["error"] = error
        return json.dumps(line, ensure_ascii=False)


class TextFormatter(LineFormatter):
    """One line for a reader."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        message = self.message_of(record).replace("\n", "\\n").replace("\r", "\\r")
        line = (
            f"{self.time_of(record)} {record.levelname} {self.entry} "
            f"{current_request_id()} {record.name}: {message}"
        )
        error = self.traceback_of(record)
        return f"{line} [{error}]" if error else line
