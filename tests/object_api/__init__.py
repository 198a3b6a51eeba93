"""Tests of the object API package."""

from __future__ import annotations
