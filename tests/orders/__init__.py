"""Tests of orders to targets."""

from __future__ import annotations
