"""Tests of gypsumsail."""

from __future__ import annotations
