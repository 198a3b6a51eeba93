"""Tests of the relay package."""

from __future__ import annotations
