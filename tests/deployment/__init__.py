"""Tests of the whole path through separate processes."""

from __future__ import annotations
