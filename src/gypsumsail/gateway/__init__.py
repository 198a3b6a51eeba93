"""Gateway that routes, queues and forwards callers' requests to targets."""

from __future__ import annotations
