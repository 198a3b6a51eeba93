"""Follows documents, targets and weight versions in the platform's object store."""

from __future__ import annotations
