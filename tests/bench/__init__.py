"""Tests of the benchmark."""

from __future__ import annotations
