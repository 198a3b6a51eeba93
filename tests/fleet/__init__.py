"""Tests of fleet."""

from __future__ import annotations
