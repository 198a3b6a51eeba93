"""Tests of the whole program under failure, as real processes."""

from __future__ import annotations
