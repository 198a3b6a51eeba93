"""Tests of the HTTP transport."""

from __future__ import annotations
