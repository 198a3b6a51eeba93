"""One VM of the gateway: settings, start, readiness and shutdown."""

from __future__ import annotations
