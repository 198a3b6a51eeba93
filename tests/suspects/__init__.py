"""Tests of suspects."""

from __future__ import annotations
