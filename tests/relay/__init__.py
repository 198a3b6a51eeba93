"""Tests of relay."""

from __future__ import annotations
