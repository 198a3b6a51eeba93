"""What every domain uses; it knows none of them."""

from __future__ import annotations
