"""Parsing, validation and schema of service documents."""

from __future__ import annotations
