"""Selection of the target that serves a request."""

from __future__ import annotations
