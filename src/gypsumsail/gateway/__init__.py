"""Calls that are forwarded to targets as they are."""

from __future__ import annotations
