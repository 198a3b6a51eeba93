"""Tests of the targets adapter."""

from __future__ import annotations
