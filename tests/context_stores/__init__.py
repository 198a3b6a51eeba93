"""Tests of polling and using context stores."""

from __future__ import annotations
