"""Tests of the stores adapter."""

from __future__ import annotations
