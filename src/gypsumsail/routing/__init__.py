"""Choice of the target of a request."""

from __future__ import annotations
