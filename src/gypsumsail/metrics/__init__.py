"""Metrics of a process and their text form."""

from __future__ import annotations
