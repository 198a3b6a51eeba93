"""Serving system for long prompts that return after hours or days."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"
