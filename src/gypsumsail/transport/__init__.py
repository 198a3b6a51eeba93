"""HTTP clients for the platform, targets and stores, and the HTTP server."""

from __future__ import annotations
