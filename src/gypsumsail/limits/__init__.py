"""Limits, shares and shedding."""

from __future__ import annotations
