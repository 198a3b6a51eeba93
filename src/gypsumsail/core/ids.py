"""Identifiers of requests, attempts and incarnations (runs of a process)."""

from __future__ import annotations

import secrets
from typing import Final

ID_BYTES: Final = 12


def new_id() -> str:
    """Return a random hexadecimal identifier that is unique in practice."""
    return secrets.token_hex(ID_BYTES)


def new_system_call_id(vm: str, call: str) -> str:
    """Return the id of a call that a VM makes on its own behalf.

    Unlike the ids of callers, it tells which VM made the call and what it is for.
    """
    return f"system-{call}-{vm}-{new_id()}"
