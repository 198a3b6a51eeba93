"""Tests of rolling out weights."""

from __future__ import annotations
