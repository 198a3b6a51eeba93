"""Rendezvous hashing: which members own a key, agreed without messages."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash


def rank(key: str, members: Iterable[str]) -> Sequence[str]:
    """Return the members by their claim on the key, the owner first."""
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode()),
            member,
        ),
        reverse=True,
    )


def owner(key: str, members: Iterable[str]) -> str:
    """Return the member that owns the key; raises ValueError without members."""
    return max(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode()),
            member,
        ),
    )
