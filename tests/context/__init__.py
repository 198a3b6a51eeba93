"""Tests of the context directory."""

from __future__ import annotations
