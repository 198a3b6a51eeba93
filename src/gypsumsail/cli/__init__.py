"""Command-line interface of gypsumsail."""

from __future__ import annotations
