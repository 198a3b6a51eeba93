"""Tests of the check of routing documents."""

from __future__ import annotations
