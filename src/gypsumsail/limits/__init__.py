"""Customer limits, fair sharing and load shedding."""

from __future__ import annotations
