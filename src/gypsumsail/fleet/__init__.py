"""What the entries together see of the engines."""

from __future__ import annotations
