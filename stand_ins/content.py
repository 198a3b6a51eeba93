"""Blocks of a prompt, their hashes, and values that simulate their KV cache.

The value of a block depends on all blocks before it, and the answer depends on the
value of the whole prompt. A checker can thus detect any use of wrong blocks.
"""

from __future__ import annotations

import hashlib
from typing import Final

BLOCK_PROMPT_BYTES: Final = 1024
TOKEN_BYTES: Final = 4
BLOCK_TOKENS: Final = BLOCK_PROMPT_BYTES // TOKEN_BYTES
HASH_BYTES: Final = 16
# Simulated size of the KV cache.
KV_BYTES_PER_TOKEN: Final = 256
# Complete answers have 8 to 64 tokens.
MIN_ANSWER_TOKENS: Final = 8
ANSWER_LENGTH_CHOICES: Final = 57


def digest(*parts: bytes) -> bytes:
    """Return the digest of some parts, each prefixed with its length."""
    result = hashlib.blake2b(digest_size=HASH_BYTES)
    for part in parts:
        result.update(len(part).to_bytes(8, "big"))
        result.update(part)
    return result.digest()


def split_blocks(prompt: bytes) -> tuple[list[bytes], bytes]:
    """Return the full blocks of a prompt and the bytes after the last of them."""
    full_bytes = len(prompt) // BLOCK_PROMPT_BYTES * BLOCK_PROMPT_BYTES
    blocks = [
        prompt[i : i + BLOCK_PROMPT_BYTES]
        for i in range(0, full_bytes, BLOCK_PROMPT_BYTES)
    ]
    return blocks, prompt[full_bytes:]


def token_count(prompt: bytes) -> int:
    """Return the number of tokens of a prompt; the last may be incomplete."""
    return -(-len(prompt) // TOKEN_BYTES)


def block_hashes(cache_salt: str, blocks: list[bytes]) -> list[str]:
    """Return the chained hashes that identify the blocks of a prompt."""
    salt = cache_salt.encode()
    previous = hashlib.blake2b(salt, digest_size=HASH_BYTES).digest()
    hashes: list[str] = []
    for block in blocks:
        previous = hashlib.blake2b(previous + block, digest_size=HASH_BYTES).digest()
        hashes.append(previous.hex())
    return hashes


def root_value(cache_salt: str, weight_version: str) -> bytes:
    """Return the value that precedes the first block."""
    return digest(b"root", cache_salt.encode(), weight_version.encode())


def block_value(previous: bytes, weight_version: str, block: bytes) -> bytes:
    """Return the value that simulates the KV cache content of a block."""
    return digest(b"block", previous, weight_version.encode(), block)


def answer_seed(
    previous: bytes, remainder: bytes, model: str, adapter: str, weight_version: str
) -> bytes:
    """Return the value of a whole prompt, which determines the answer."""
    names = (model.encode(), adapter.encode(), weight_version.encode())
    return digest(b"final", previous, remainder, *names)


def answer_token(seed: bytes, index: int) -> str:
    """Return one token of the answer."""
    return f" {digest(seed, index.to_bytes(4, 'big')).hex()[:6]}"


def natural_length(prompt: bytes) -> int:
    """Return the number of answer tokens without a ``max_tokens`` limit."""
    number = int.from_bytes(digest(b"length", prompt)[:4], "big")
    return MIN_ANSWER_TOKENS + number % ANSWER_LENGTH_CHOICES
