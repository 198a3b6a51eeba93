"""What an engine's prefix cache holds, as far as its events tell."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from gypsumsail.targets.port import CacheEvent, CacheEventKind, CacheEvents

_HASH_DIGITS = 16


@dataclass(slots=True)
class EngineView:
    """Blocks believed to be in an engine.

    The view only steers the choice of an engine; the engine itself decides by
    its own cache what it reuses. A view that is behind costs time, never a
    wrong answer.

    Attributes
    ----------
    sequence
        Last event that was applied.
    synced
        Whether the blocks follow from all events up to ``sequence``. A view
        that is not waits for `replace`.
    """

    incarnation: str = ""
    sequence: int = 0
    synced: bool = False
    blocks: set[int] = field(default_factory=set)

    def apply(self, events: CacheEvents) -> None:
        """Take events in order; a gap or a restart ends the view's validity."""
        if events.incarnation != self.incarnation:
            self.reset()
            return
        for event in events.events:
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                self.synced = False
                return
            self._apply_one(event)
        if events.next_sequence < self.sequence:
            self.synced = False

    def replace(self, contents: CacheEvents) -> None:
        """Take the whole contents after a gap or a restart."""
        self.incarnation = contents.incarnation
        self.sequence = contents.next_sequence
        self.blocks = {
            _cut(block) for event in contents.events for block in event.block_hashes
        }
        self.synced = True

    def reset(self) -> None:
        """Believe nothing until the next `replace`."""
        self.incarnation = ""
        self.sequence = 0
        self.synced = False
        self.blocks = set()

    def cached_blocks(self, hashes: Sequence[str]) -> int:
        """Return how many blocks from the prompt's start are believed cached."""
        for depth, block in enumerate(hashes):
            if _cut(block) not in self.blocks:
                return depth
        return len(hashes)

    def _apply_one(self, event: CacheEvent) -> None:
        match event.kind:
            case CacheEventKind.STORED:
                self.blocks.update(map(_cut, event.block_hashes))
            case CacheEventKind.EVICTED:
                self.blocks.difference_update(map(_cut, event.block_hashes))
            case CacheEventKind.CLEARED:
                self.blocks.clear()
        self.sequence = event.sequence


def _cut(block_hash: str) -> int:
    return int(block_hash[:_HASH_DIGITS], 16)
