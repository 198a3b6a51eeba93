"""Tests of the program that is built as a single file."""

from __future__ import annotations
