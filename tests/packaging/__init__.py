"""Tests of the program as one file."""

from __future__ import annotations
