"""Port and adapters to targets."""

from __future__ import annotations
