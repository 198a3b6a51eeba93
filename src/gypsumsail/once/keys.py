"""Digests of idempotency keys, ledger partitions and partition owners."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from gypsumsail.core import rendezvous
from gypsumsail.once.const import LEDGER_PARTITIONS, LEDGER_PREFIX
from gypsumsail.peers.port import EntryId

DIGEST_BYTES: Final = 16
UINT32_BYTES: Final = 4


def key_digest(customer: str, service: str, key: str) -> bytes:
    """Return the digest of a key in the scope of its customer and service."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (customer, service, key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(UINT32_BYTES))
        digest.update(encoded)
    return digest.digest()


def partition_of(digest: bytes) -> int:
    """Return the ledger partition of a key digest."""
    return int.from_bytes(digest[:UINT32_BYTES]) % LEDGER_PARTITIONS


def owner_of(partition: int, entries: Iterable[EntryId]) -> EntryId:
    """Return the entry that commits a partition, by rendezvous hashing.

    Entries that see different peers may choose different owners. That is safe,
    because each write is conditional on the version of the head; it only makes
    the batches smaller.
    """
    by_name = {f"{entry.name}/{entry.incarnation}": entry for entry in entries}
    return by_name[rendezvous.owner(f"{LEDGER_PREFIX}{partition}", by_name)]
