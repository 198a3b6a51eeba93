"""Tests of limits and fair sharing."""

from __future__ import annotations
