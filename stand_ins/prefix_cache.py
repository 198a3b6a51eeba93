"""LRU prefix cache of an engine and the events that it publishes."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from stand_ins.content import BLOCK_TOKENS
from stand_ins.faults import Faults

MAX_EVENTS: Final = 10_000


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """One change of the cache.

    Attributes
    ----------
    kind
        ``stored``, ``evicted`` or ``cleared``.
    visible_at
        Event loop time from which the event is published, in seconds.
    """

    sequence: int
    kind: str
    hashes: tuple[str, ...]
    visible_at: float

    def as_json(self) -> dict[str, Any]:
        """Return the event in the format of the engine's API."""
        return {
            "sequence": self.sequence,
            "kind": self.kind,
            "hashes": list(self.hashes),
        }


class PrefixCache:
    """Values of blocks by hash; the least recently used block is evicted first."""

    def __init__(self, *, capacity_tokens: int, event_delay: float, faults: Faults):
        self.capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self.event_delay = event_delay
        self.faults = faults
        self.values: OrderedDict[str, bytes] = OrderedDict()
        self.events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self.sequence = 0

    def used_tokens(self) -> int:
        """Return the number of tokens in the cache."""
        return len(self.values) * BLOCK_TOKENS

    def prefix(self, hashes: Sequence[str]) -> list[bytes]:
        """Return the values of the longest cached prefix and mark it as used."""
        found: list[bytes] = []
        for block_hash in hashes:
            value = self.values.get(block_hash)
            if value is None:
                break
            self.values.move_to_end(block_hash)
            found.append(value)
        return found

    def store(self, hashes: Sequence[str], values: Sequence[bytes], now: float) -> None:
        """Add blocks and evict the least recently used ones above the capacity."""
        added: list[str] = []
        for block_hash, value in zip(hashes, values, strict=True):
            if block_hash not in self.values:
                added.append(block_hash)
                self.values[block_hash] = value
            self.values.move_to_end(block_hash)
        self.publish("stored", added, now)
        evicted: list[str] = []
        while len(self.values) > self.capacity_blocks:
            evicted.append(self.values.popitem(last=False)[0])
        self.publish("evicted", evicted, now)

    def clear(self, now: float) -> None:
        """Remove all blocks."""
        self.values.clear()
        # The list is not empty because ``publish`` ignores an event without hashes; it
        # omits the empty hash from the event.
        self.publish("cleared", [""], now)

    def publish(self, kind: str, hashes: list[str], now: float) -> None:
        """Publish a change after the event delay.

        The fault ``gap_events`` drops events but still uses their sequence numbers.
        """
        if not hashes:
            return
        self.sequence += 1
        if self.faults.should_inject("gap_events"):
            return
        self.events.append(
            CacheEvent(
                sequence=self.sequence,
                kind=kind,
                hashes=tuple(h for h in hashes if h),
                visible_at=now + self.event_delay,
            )
        )

    def events_after(self, sequence: int, now: float) -> list[CacheEvent]:
        """Return the visible events after a sequence number."""
        return [e for e in self.events if e.sequence > sequence and e.visible_at <= now]
