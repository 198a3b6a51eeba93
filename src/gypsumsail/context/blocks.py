"""Blocks of a prompt and their chained hashes."""

from __future__ import annotations

from hashlib import blake2b

from gypsumsail.context.const import BLOCK_BYTES, BYTES_PER_TOKEN, HASH_BYTES


def cache_salt(
    *, service: str, customer: str, model: str, adapter: str, weight_version: str
) -> str:
    """Return the root of the block hashes of one customer, model and version.

    Each part is preceded by its length, so that no two different lists of parts
    give the same salt, whatever characters a part contains.
    """
    parts = (service, customer, model, adapter, weight_version)
    return "".join(f"{len(part)}:{part}" for part in parts)


def block_hashes(prompt: str, salt: str) -> tuple[str, ...]:
    """Return the hashes of the prompt's full blocks, in hexadecimal.

    The hash of a block covers the salt and all blocks before it. A rest that
    fills no block has no hash, since no engine caches it.
    """
    data = memoryview(prompt.encode())
    previous = blake2b(salt.encode(), digest_size=HASH_BYTES).digest()
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest = blake2b(previous, digest_size=HASH_BYTES)
        digest.update(data[start : start + BLOCK_BYTES])
        previous = digest.digest()
        hashes.append(previous.hex())
    return tuple(hashes)


def token_count(text: str) -> int:
    """Return the number of tokens of a text."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)
