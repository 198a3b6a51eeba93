"""Tests of gypsumsail.timeline."""

from __future__ import annotations
