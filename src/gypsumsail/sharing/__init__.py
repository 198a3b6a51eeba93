"""Which calls may use the cached context of which others."""

from __future__ import annotations
