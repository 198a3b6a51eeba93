"""Interfaces and HTTP clients for targets."""

from __future__ import annotations
