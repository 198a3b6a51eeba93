"""Tests of gypsumsail.entry."""

from __future__ import annotations
