"""Tests of the catalog package."""

from __future__ import annotations
