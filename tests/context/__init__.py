"""Tests of kept context."""

from __future__ import annotations
