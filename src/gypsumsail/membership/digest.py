"""Bucketed digests that show where two tables differ."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import hashlib

from gypsumsail.membership.const import DIGEST_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class BucketDigest:
    """Digest of a table whose rows are distributed over buckets by key.

    Attributes
    ----------
    buckets
        Concatenated digests of the buckets.
    root
        Digest of the whole table.
    """

    buckets: bytes
    root: bytes

    def differing(self, buckets: bytes) -> tuple[int, ...]:
        """Return the indexes of the buckets that differ from the other table."""
        if len(buckets) != len(self.buckets):
            return ()
        starts = range(0, len(buckets), DIGEST_BYTES)
        return tuple(
            index
            for index, start in enumerate(starts)
            if _part(self.buckets, start) != _part(buckets, start)
        )


def bucket_of(key: str, buckets: int) -> int:
    """Return the bucket of a key."""
    return int.from_bytes(_hash(key), "big") % buckets


def digest_table(rows: Iterable[tuple[str, str]], buckets: int) -> BucketDigest:
    """Return the digest of rows, each with a key and its content as text."""
    sums = [0] * buckets
    for key, content in rows:
        row = _hash(f"{key}\0{content}")
        sums[bucket_of(key, buckets)] ^= int.from_bytes(row, "big")
    joined = b"".join(value.to_bytes(DIGEST_BYTES, "big") for value in sums)
    root = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
    return BucketDigest(buckets=joined, root=root)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def _part(joined: bytes, start: int) -> bytes:
    return joined[start : start + DIGEST_BYTES]
