"""Tests of the stores package."""

from __future__ import annotations
