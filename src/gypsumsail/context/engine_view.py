"""Replica of the prefix cache contents of an engine, built from its events."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from gypsumsail.targets.port import CacheEvent, CacheEventKind, CacheEvents

# Leading hex digits of a block hash that a view stores, to save memory.
_SHORT_HASH_DIGITS = 16


@dataclass(slots=True)
class EngineView:
    """Blocks that an engine is expected to have in its prefix cache.

    The view is used only to select an engine. The engine decides by its own cache
    which blocks it reuses, so an outdated view costs time but never gives a wrong
    answer.

    Attributes
    ----------
    incarnation
        Identifier of one run of the engine process; changes with each restart.
    sequence
        Sequence number of the last event that was applied.
    synced
        Whether the view was loaded and no event since is known to be missing. A view
        that is not synchronized has to be reloaded by `replace`.
    """

    incarnation: str = ""
    sequence: int = 0
    synced: bool = False
    blocks: set[int] = field(default_factory=set)

    def apply(self, events: CacheEvents) -> None:
        """Apply events in order; a gap or an engine restart invalidates the view."""
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
        if events.last_sequence < self.sequence:
            self.synced = False

    def replace(self, contents: CacheEvents) -> None:
        """Load the whole cache contents after a gap or an engine restart."""
        self.incarnation = contents.incarnation
        self.sequence = contents.last_sequence
        self.blocks = {
            _cut(block) for event in contents.events for block in event.block_hashes
        }
        self.synced = True

    def reset(self) -> None:
        """Clear the view until the next `replace`."""
        self.incarnation = ""
        self.sequence = 0
        self.synced = False
        self.blocks = set()

    def cached_blocks(self, hashes: Sequence[str]) -> int:
        """Return the number of leading blocks of a prompt that are in the view."""
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
    """Return the first `_SHORT_HASH_DIGITS` of a block hash as an integer."""
    return int(block_hash[:_SHORT_HASH_DIGITS], 16)
