"""Factors between units."""

from __future__ import annotations

from typing import Final

MILLISECONDS_PER_SECOND: Final = 1000.0
BYTES_PER_MEGABYTE: Final = 1_000_000
