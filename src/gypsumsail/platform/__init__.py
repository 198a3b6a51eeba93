"""Adapter to Kerlann's platform: its names, formats and calls; it decides nothing."""

from __future__ import annotations
