"""Tests of the distribution of documents."""

from __future__ import annotations
