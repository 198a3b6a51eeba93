"""Compact form of a prompt's chain of block hashes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.context.const import KEY_DEPTHS, MARK_BYTES, MARK_STRIDE_BLOCKS

_MARK_HEX = 2 * MARK_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class Chain:
    """A chain of blocks by some of its hashes, each cut to `MARK_BYTES`.

    A hash covers all blocks before it, so two chains that agree in one hash agree
    in all blocks up to it, and a few hashes are enough to compare them.

    Attributes
    ----------
    depth
        Number of blocks.
    marks
        Hash of each `MARK_STRIDE_BLOCKS`-th block, one after the other.
    tail
        Hash of the last block.
    """

    depth: int
    marks: bytes
    tail: bytes

    def __post_init__(self) -> None:
        if self.depth < 1 or len(self.tail) != MARK_BYTES:
            raise ValueError("chain has no last block")
        if len(self.marks) != self.depth // MARK_STRIDE_BLOCKS * MARK_BYTES:
            raise ValueError("chain has the wrong number of marks")

    def mark_keys(self) -> list[bytes]:
        """Return the marks, the shallowest first."""
        return [
            self.marks[start : start + MARK_BYTES]
            for start in range(0, len(self.marks), MARK_BYTES)
        ]


def make_chain(hashes: Sequence[str]) -> Chain:
    """Return the compact form of a chain of at least one block."""
    stride = MARK_STRIDE_BLOCKS
    marks = b"".join(map(_cut, hashes[stride - 1 :: stride]))
    return Chain(depth=len(hashes), marks=marks, tail=_cut(hashes[-1]))


def common_marks(first: Chain, second: Chain) -> int:
    """Return how many marks two chains share from their start."""
    low, high = 0, min(len(first.marks), len(second.marks)) // MARK_BYTES
    while low < high:
        middle = (low + high + 1) // 2
        start, end = (middle - 1) * MARK_BYTES, middle * MARK_BYTES
        if first.marks[start:end] == second.marks[start:end]:
            low = middle
        else:
            high = middle - 1
    return low


def common_depth(hashes: Sequence[str], chain: Chain) -> int:
    """Return how many blocks a prompt surely shares with a chain."""
    if len(hashes) >= chain.depth and _cut(hashes[chain.depth - 1]) == chain.tail:
        return chain.depth
    own = make_chain(hashes)
    return common_marks(own, chain) * MARK_STRIDE_BLOCKS


def directory_keys(hashes: Sequence[str]) -> tuple[str, ...]:
    """Return the keys under which a prompt is looked up, the deepest first.

    A prompt is kept under the first of them.
    """
    keys = [hashes[depth - 1] for depth in KEY_DEPTHS if len(hashes) >= depth]
    return tuple(key[:_MARK_HEX] for key in keys)


def _cut(block_hash: str) -> bytes:
    return bytes.fromhex(block_hash[:_MARK_HEX])
