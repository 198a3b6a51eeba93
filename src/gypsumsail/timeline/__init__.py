"""Timeline of events across all processes."""

from __future__ import annotations
