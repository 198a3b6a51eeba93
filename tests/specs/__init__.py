"""Specifications of the core protocols, model-checked by minicheck."""

from __future__ import annotations
