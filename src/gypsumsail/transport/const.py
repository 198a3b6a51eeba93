"""Constants of the HTTP clients."""

from __future__ import annotations

from typing import Final

CONNECT_TIMEOUT_SECONDS: Final = 2.0
IDLE_CONNECTION_SECONDS: Final = 2.0
IDLE_CONNECTIONS_PER_CLIENT: Final = 64
MAX_RESPONSE_BODY_BYTES: Final = 16 * 1024 * 1024
HEADER_LIMIT_BYTES: Final = 64 * 1024
EVENT_LIMIT_BYTES: Final = 64 * 1024
"""Maximum size of an event: bytes when incomplete, characters when decoded."""
MAX_UNREAD_BODY_BYTES: Final = 256 * 1024
ERROR_BODY_LIMIT_BYTES: Final = 64 * 1024
REQUEST_ID_HEADER: Final = "x-request-id"
EVENT_STREAM_CONTENT_TYPE: Final = "text/event-stream"
EVENT_POLL_MARGIN_SECONDS: Final = 2.0
CALL_TIMEOUT_SECONDS: Final = 5.0
EXPORT_TIMEOUT_SECONDS: Final = 60.0
