"""One VM of the gateway: its settings, start, readiness and stop."""

from __future__ import annotations
