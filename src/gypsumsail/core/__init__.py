"""Shared building blocks; this package imports no other gypsumsail package."""

from __future__ import annotations
