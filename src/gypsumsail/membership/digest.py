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
    bucket_digests
        Concatenated digests of the buckets.
    root
        Digest of the whole table.
    """

    bucket_digests: bytes
    root: bytes

    def differing(self, bucket_digests: bytes) -> tuple[int, ...]:
        """Return the indexes of the differing buckets.

        The result is empty when the other table has another number of buckets.
        """
        if len(bucket_digests) != len(self.bucket_digests):
            return ()
        starts = range(0, len(bucket_digests), DIGEST_BYTES)
        return tuple(
            index
            for index, start in enumerate(starts)
            if _part(self.bucket_digests, start) != _part(bucket_digests, start)
        )


def bucket_of(key: str, bucket_count: int) -> int:
    """Return the bucket of a key."""
    return int.from_bytes(_hash(key), "big") % bucket_count


def digest_table(rows: Iterable[tuple[str, str]], bucket_count: int) -> BucketDigest:
    """Return the digest of rows, each with a key and its content as text."""
    sums = [0] * bucket_count
    for key, content in rows:
        row = _hash(f"{key}\0{content}")
        sums[bucket_of(key, bucket_count)] ^= int.from_bytes(row, "big")
    joined = b"".join(value.to_bytes(DIGEST_BYTES, "big") for value in sums)
    root = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
    return BucketDigest(bucket_digests=joined, root=root)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def _part(joined: bytes, start: int) -> bytes:
    return joined[start : start + DIGEST_BYTES]
