"""Identifiers of requests, attempts and incarnations (runs of a process)."""

from __future__ import annotations

import secrets
from typing import Final

ID_BYTES: Final = 12


def new_id() -> str:
    """Return a random hexadecimal identifier that is unique in practice."""
    return secrets.token_hex(ID_BYTES)
