"""What is exported, brought back and evicted."""

from __future__ import annotations
