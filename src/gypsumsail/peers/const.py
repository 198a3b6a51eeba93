"""Constants of the links between entries."""

from __future__ import annotations

from typing import Final

PROTOCOL_VERSION: Final = 1
NONCE_BYTES: Final = 16
MIN_SECRET_BYTES: Final = 16
SEAL_BYTES: Final = 16

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_HANDSHAKE_BYTES: Final = 2048
MAX_DEPTH: Final = 16
MAX_TAG: Final = 512
MAX_INTEGER: Final = 2**63

SEND_QUEUE_FRAMES: Final = 1024
SEND_QUEUE_BYTES: Final = 16 * 1024 * 1024
MAX_RUNNING_HANDLERS: Final = 256

CONNECT_TIMEOUT_SECONDS: Final = 3.0
REUSE_SECONDS: Final = 30.0
IDLE_SECONDS: Final = 60.0
IDLE_CHECK_SECONDS: Final = 15.0
CLOSE_TIMEOUT_SECONDS: Final = 1.0
