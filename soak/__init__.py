"""Randomized soak of the real program under faults from outside."""

from __future__ import annotations
