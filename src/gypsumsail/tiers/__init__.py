"""Export, import, promotion and eviction of blocks in the store tiers."""

from __future__ import annotations
