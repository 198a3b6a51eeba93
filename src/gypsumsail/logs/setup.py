"""Configures logging for an entry."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from gypsumsail.entry.settings import EntrySettings, LogFormat
from gypsumsail.logs.const import NOISY_LOGGERS
from gypsumsail.logs.formatter import JsonFormatter, LineFormatter, TextFormatter
from gypsumsail.logs.redact import Redactor


def setup_logs(settings: EntrySettings, stream: TextIO | None = None) -> None:
    """Route all log records to standard error or to the given stream."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_formatter(settings))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.log_level.value.upper())
    for name in NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


def _formatter(settings: EntrySettings) -> LineFormatter:
    redactor = Redactor(
        (
            settings.operator_key.get_secret_value(),
            settings.peer_secret.get_secret_value(),
        )
    )
    match settings.log_format:
        case LogFormat.JSON:
            return JsonFormatter(settings.name, redactor)
        case LogFormat.TEXT:
            return TextFormatter(settings.name, redactor)
