"""Tests of the memory and disk tiers."""

from __future__ import annotations
