"""Tests of gypsumsail.metrics."""

from __future__ import annotations
