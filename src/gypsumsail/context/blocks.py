"""Splitting of prompts into blocks, and the chained hashes of the blocks."""

from __future__ import annotations

from hashlib import blake2b

from gypsumsail.context.const import BLOCK_BYTES, BYTES_PER_TOKEN, HASH_BYTES


def cache_salt(
    *, service: str, customer: str, model: str, adapter: str, weight_version: str
) -> str:
    """Return the salt of the block hashes.

    It separates services, customers, models, adapters and weight versions.

    Each part is prefixed with its length, so two different lists of parts never
    give the same salt, whichever characters the parts contain.
    """
    parts = (service, customer, model, adapter, weight_version)
    return "".join(f"{len(part)}:{part}" for part in parts)


def block_hashes(prompt: str, salt: str) -> tuple[str, ...]:
    """Return the hashes of the full blocks of a prompt, in hexadecimal.

    The hash of a block covers the salt, the block and all blocks before it. An
    incomplete last block has no hash, because engines cache only full blocks.
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
    """Return the estimated number of tokens of a text, rounded up.

    A token is taken to be `BYTES_PER_TOKEN` UTF-8 bytes.
    """
    return -(-len(text.encode()) // BYTES_PER_TOKEN)
