"""Blocks of prompts and the directory of kept context."""

from __future__ import annotations
