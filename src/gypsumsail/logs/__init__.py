"""Log lines of a process, as JSON or text, without prompt text and keys."""

from __future__ import annotations
