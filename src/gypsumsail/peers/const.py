"""Constants for the links between entries."""

from __future__ import annotations

from typing import Final

PROTOCOL_VERSION: Final = 1
NONCE_BYTES: Final = 16
MIN_SECRET_BYTES: Final = 16
FRAME_MAC_BYTES: Final = 16

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
FRAME_OVERHEAD_BYTES: Final = 64
"""Reserved in each frame for its MAC and its timestamp."""
MAX_BODY_BYTES: Final = MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES
MAX_HANDSHAKE_BYTES: Final = 2048
MAX_DEPTH: Final = 16
REFUSED_TAG_COUNT: Final = 512
"""Number of CBOR tags, from 0, whose built-in decoders are replaced by a refusal.

cbor2 does not call its tag hook for the tags that it decodes itself.
"""
INTEGER_BOUND: Final = 2**63
"""Integers are in [-2**63, 2**63), floats in [-2**63, 2**63]."""

# Limits per link.
MAX_QUEUED_FRAMES: Final = 1024
MAX_QUEUED_BYTES: Final = 16 * 1024 * 1024
MAX_RUNNING_HANDLERS: Final = 256

CONNECT_TIMEOUT_SECONDS: Final = 3.0
LINK_REUSE_SECONDS: Final = 30.0
"""Idle time after which a link is not used for new messages.

It is well below ``LINK_IDLE_SECONDS``, after which the peer closes the link.
"""
LINK_IDLE_SECONDS: Final = 60.0
"""Idle time after which a link is closed."""
IDLE_CHECK_SECONDS: Final = 15.0
CLOSE_TIMEOUT_SECONDS: Final = 1.0
SEND_LIMIT_SECONDS: Final = 5.0
"""Time after which a link ends whose peer has not acknowledged what was sent.

It is longer than the time limits of requests, but for those to the archive, so that
what was given up does not arrive long after.
"""
