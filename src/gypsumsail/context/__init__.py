"""Hash chains of prompt blocks and the distributed directory of cached prompts."""

from __future__ import annotations
