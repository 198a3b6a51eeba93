"""Tests of the evacuations package."""

from __future__ import annotations
