"""Limits and names for logging."""

from __future__ import annotations

from typing import Final

MAX_MESSAGE_CHARACTERS: Final = 2_000
MAX_TRACEBACK_CHARACTERS: Final = 8_000
NO_REQUEST_ID: Final = "-"
NOISY_LOGGERS: Final = ("httpx", "httpcore", "websockets", "uvicorn.access")
