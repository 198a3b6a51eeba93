"""Measurements on the real processes and the stand-ins."""

from __future__ import annotations
