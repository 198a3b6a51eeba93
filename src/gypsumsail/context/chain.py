"""Compact form of the block hash chain of a prompt."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.context.const import KEY_DEPTHS, SAMPLE_STRIDE_BLOCKS, SHORT_HASH_BYTES

_SHORT_HASH_DIGITS = 2 * SHORT_HASH_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class HashChain:
    """Samples of the block hashes of a prompt, truncated to `SHORT_HASH_BYTES`.

    A block hash covers all blocks before it. Two chains that have the same hash
    at a depth therefore have the same blocks up to that depth, and a few samples
    are enough to compare the chains.

    Attributes
    ----------
    depth
        Number of blocks.
    samples
        Truncated hashes of every `SAMPLE_STRIDE_BLOCKS`-th block, concatenated.
    last_hash
        Truncated hash of the last block.
    """

    depth: int
    samples: bytes
    last_hash: bytes

    def __post_init__(self) -> None:
        if self.depth < 1 or len(self.last_hash) != SHORT_HASH_BYTES:
            raise ValueError("chain is empty or its last hash has the wrong length")
        if len(self.samples) != self.depth // SAMPLE_STRIDE_BLOCKS * SHORT_HASH_BYTES:
            raise ValueError("chain has the wrong number of samples")

    def split_samples(self) -> list[bytes]:
        """Return the samples in order of increasing depth."""
        return [
            self.samples[start : start + SHORT_HASH_BYTES]
            for start in range(0, len(self.samples), SHORT_HASH_BYTES)
        ]


def make_chain(hashes: Sequence[str]) -> HashChain:
    """Return the compact form of a hash chain of at least one block."""
    stride = SAMPLE_STRIDE_BLOCKS
    samples = b"".join(map(_cut, hashes[stride - 1 :: stride]))
    return HashChain(depth=len(hashes), samples=samples, last_hash=_cut(hashes[-1]))


def shared_sample_count(first: HashChain, second: HashChain) -> int:
    """Return the number of leading samples that two chains have in common."""
    low, high = 0, min(len(first.samples), len(second.samples)) // SHORT_HASH_BYTES
    while low < high:
        middle = (low + high + 1) // 2
        start, end = (middle - 1) * SHORT_HASH_BYTES, middle * SHORT_HASH_BYTES
        if first.samples[start:end] == second.samples[start:end]:
            low = middle
        else:
            high = middle - 1
    return low


def common_depth(hashes: Sequence[str], chain: HashChain) -> int:
    """Return the number of leading blocks that a prompt provably shares with a chain.

    If the prompt does not contain the whole chain, the result is rounded down to a
    multiple of `SAMPLE_STRIDE_BLOCKS`.
    """
    if len(hashes) >= chain.depth and _cut(hashes[chain.depth - 1]) == chain.last_hash:
        return chain.depth
    own = make_chain(hashes)
    return shared_sample_count(own, chain) * SAMPLE_STRIDE_BLOCKS


def directory_keys(hashes: Sequence[str]) -> tuple[str, ...]:
    """Return the directory keys to look a prompt up by, the deepest first.

    The directory stores the record of the prompt under the first key.
    """
    keys = [hashes[depth - 1] for depth in KEY_DEPTHS if len(hashes) >= depth]
    return tuple(key[:_SHORT_HASH_DIGITS] for key in keys)


def _cut(block_hash: str) -> bytes:
    """Return the first `SHORT_HASH_BYTES` of a block hash."""
    return bytes.fromhex(block_hash[:_SHORT_HASH_DIGITS])
