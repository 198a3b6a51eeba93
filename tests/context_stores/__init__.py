"""Tests of following and using context stores."""

from __future__ import annotations
