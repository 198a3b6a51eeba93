"""Distribution of service documents to the entries."""

from __future__ import annotations
