"""Load and state of the engines, shared among the entries."""

from __future__ import annotations
