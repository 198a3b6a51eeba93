"""Tests of the bench."""

from __future__ import annotations
