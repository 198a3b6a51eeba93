"""Tests of at-most-once execution."""

from __future__ import annotations
