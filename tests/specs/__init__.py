"""Specifications of the core protocols, checked by minicheck."""

from __future__ import annotations
