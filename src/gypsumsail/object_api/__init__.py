"""Port and adapter to the platform."""

from __future__ import annotations
