"""Rendezvous hashing: assigns keys to members without coordination messages."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash


def rank(key: str, members: Iterable[str]) -> Sequence[str]:
    """Return the members by descending rendezvous hash for the key, owner first."""
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode()),
            member,
        ),
        reverse=True,
    )


def owner(key: str, members: Iterable[str]) -> str:
    """Return the owner of the key; raises ValueError if there are no members."""
    return max(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode()),
            member,
        ),
    )
