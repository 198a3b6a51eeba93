"""End-to-end tests that run real processes and inject failures."""

from __future__ import annotations
