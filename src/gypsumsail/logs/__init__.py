"""Logging as JSON or text, with prompt text and keys redacted."""

from __future__ import annotations
