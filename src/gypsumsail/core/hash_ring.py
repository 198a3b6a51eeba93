"""Consistent hashing: assigns many keys to members at little cost for each key.

Rings of members that differ in one member disagree only about the keys next to it.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from functools import lru_cache

import xxhash

POINTS_PER_MEMBER = 32
"""Points of each member on the ring; more of them make the shares more even."""
MAX_CACHED_MEMBERS = 1_024
"""Members whose points are cached."""


@lru_cache(maxsize=MAX_CACHED_MEMBERS)
def _points(member: str) -> tuple[int, ...]:
    return tuple(
        xxhash.xxh3_64_intdigest(f"{member}\0{number}".encode())
        for number in range(POINTS_PER_MEMBER)
    )


class HashRing:
    """Ring of members; each key belongs to the member at the next point.

    Attributes
    ----------
    members
        All members of the ring.
    """

    def __init__(self, members: Iterable[str]) -> None:
        self.members = frozenset(members)
        points = sorted(
            (point, member) for member in self.members for point in _points(member)
        )
        self._hashes = [point for point, _ in points]
        self._owners = [member for _, member in points]

    def owner(self, key: str) -> str:
        """Return the owner of a key; raises ``IndexError`` without members."""
        found = bisect(self._hashes, xxhash.xxh3_64_intdigest(key.encode()))
        return self._owners[found % len(self._owners)]
