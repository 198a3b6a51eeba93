"""Limits of the time line."""

from __future__ import annotations

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1_000
MAX_AHEAD_MILLISECONDS: Final = 5_000
MAX_DETAIL_LENGTH: Final = 200
MAX_FIELD_LENGTH: Final = 128

RING_EVENTS: Final = 20_000
PAGE_EVENTS: Final = 2_000
