"""Tests of the platform adapter."""

from __future__ import annotations
