"""Tests of gypsumsail.document."""

from __future__ import annotations
