"""Detection of requests that crash the targets that run them."""

from __future__ import annotations
