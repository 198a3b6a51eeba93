"""Tests of the transport adapter."""

from __future__ import annotations
