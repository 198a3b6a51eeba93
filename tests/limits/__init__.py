"""Tests of limits and fairness."""

from __future__ import annotations
