"""Which entries and targets are there."""

from __future__ import annotations
