"""Constants of kept context."""

from __future__ import annotations

from typing import Final

BLOCK_BYTES: Final = 1024
HASH_BYTES: Final = 16
BYTES_PER_TOKEN: Final = 4
TOKENS_PER_BLOCK: Final = BLOCK_BYTES // BYTES_PER_TOKEN
KEPT_BYTES_PER_TOKEN: Final = 256
KEPT_BYTES_PER_BLOCK: Final = TOKENS_PER_BLOCK * KEPT_BYTES_PER_TOKEN
