"""Metrics of a process and their text exposition."""

from __future__ import annotations
