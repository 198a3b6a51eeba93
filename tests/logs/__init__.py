"""Tests of gypsumsail.logs."""

from __future__ import annotations
