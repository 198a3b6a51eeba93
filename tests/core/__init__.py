"""Tests of core."""

from __future__ import annotations
