"""Keeps parts of prompts in stores, and brings them back to engines."""

from __future__ import annotations
