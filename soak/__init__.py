"""Randomized soak test of the real program under injected external faults."""

from __future__ import annotations
