"""Documents in force."""

from __future__ import annotations
