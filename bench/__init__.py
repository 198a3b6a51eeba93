"""Benchmarks of the real processes against the stand-ins."""

from __future__ import annotations
