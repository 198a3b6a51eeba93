"""Orders to targets under a lease."""

from __future__ import annotations
