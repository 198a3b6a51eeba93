"""Tests of gypsumsail.cli."""

from __future__ import annotations
