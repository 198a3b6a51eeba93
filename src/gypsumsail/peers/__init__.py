"""Authenticated websocket links between entries."""

from __future__ import annotations
