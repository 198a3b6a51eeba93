"""Tests of documents."""

from __future__ import annotations
