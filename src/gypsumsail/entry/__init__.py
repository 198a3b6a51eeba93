"""Entry role."""

from __future__ import annotations
