"""Service document: border models, checks and schema."""

from __future__ import annotations
