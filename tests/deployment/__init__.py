"""End-to-end tests of a deployment in separate processes."""

from __future__ import annotations
