"""Tests of the package of the same name."""

from __future__ import annotations
