"""Forwarding of answers from targets to callers."""

from __future__ import annotations
