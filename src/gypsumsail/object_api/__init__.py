"""Port of the platform's object API and VM list, with its HTTP adapter."""

from __future__ import annotations
