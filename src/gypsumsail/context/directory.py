"""Directory shard of one entry: where prompts are cached and stored."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from sys import intern
from typing import Final

from gypsumsail.context.chain import HashChain, shared_sample_count
from gypsumsail.context.const import (
    MAX_RECORDS,
    MAX_STORES_PER_RECORD,
    MIN_MERGE_SHARE,
    SAMPLE_STRIDE_BLOCKS,
)
from gypsumsail.context.models import EngineHint, Found, PromptUpdate, StoredPrefix

NOT_FOUND: Final = Found()


@dataclass(slots=True, kw_only=True)
class PromptRecord:
    """Directory record of one prompt, or of several that begin with the same text.

    Attributes
    ----------
    requested_at
        Time of the last request with the prompt, by the clock of this entry.
    engine
        Target of the engine that last computed the prompt; empty if none is known.
    hint_depth
        Number of leading blocks in the engine hint.
    hint_at
        Time of the last engine hint, by the clock of this entry.
    """

    key: str
    chain: HashChain
    requested_at: float
    stored: tuple[StoredPrefix, ...] = ()
    engine: str = ""
    hint_depth: int = 0
    hint_at: float = 0.0


class Directory:
    """Prompt records with an index of their hash samples and LRU eviction.

    A record is only a hint. The requesting entry builds the block names from the
    hashes of its own prompt, so a wrong record never leads to the blocks of
    another prompt.

    Attributes
    ----------
    index
        Records by directory key, selected hash samples and last hash. Of the records
        with the same index key, it has the one that was indexed last.
    records
        Records by their `id()`, the least recently used first.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self.max_records = max_records
        self.records: OrderedDict[int, PromptRecord] = OrderedDict()
        self.index: dict[bytes, PromptRecord] = {}

    def publish(self, update: PromptUpdate, *, now: float) -> None:
        """Apply an update of a prompt record, from this entry or another one."""
        record = self._find(update.key, update.chain)
        if record is None or not _can_share_record(record.chain, update.chain):
            record = self._add(update, now=now)
        elif update.chain.depth >= record.chain.depth:
            self._replace_chain(record, update.chain)
        record.requested_at = max(record.requested_at, now - update.age)
        self.records.move_to_end(id(record))
        self._update_engine(record, update, now=now)
        if update.stored is not None and update.stored.runs:
            self._update_stored(record, update.chain, update.stored)

    def look_up(self, key: str, chain: HashChain, *, now: float) -> Found:
        """Return the record with the deepest index key that it shares with a prompt."""
        record = self._find(key, chain)
        if record is None:
            return NOT_FOUND
        age = max(now - record.requested_at, 0.0)
        record.requested_at = now
        self.records.move_to_end(id(record))
        return Found(
            chain=record.chain, stored=record.stored, engine=_hint(record, now), age=age
        )

    def withdraw(self, key: str, chain: HashChain, store_url: str, depth: int) -> None:
        """Record that a store has at most ``depth`` blocks of a prompt left."""
        record = self._find(key, chain)
        if record is None:
            return
        shorter = (
            stored.cut(depth) if stored.store_url == store_url else stored
            for stored in record.stored
        )
        record.stored = tuple(stored for stored in shorter if stored.runs)

    def drop_store(self, store_url: str) -> None:
        """Remove the contents of a store from all records."""
        for record in self.records.values():
            record.stored = tuple(
                stored for stored in record.stored if stored.store_url != store_url
            )

    def remove(self, record: PromptRecord) -> None:
        """Remove the record of a prompt."""
        if self.records.pop(id(record), None) is None:
            return
        self._unindex(record)

    def oldest_first(self) -> Iterator[PromptRecord]:
        """Iterate over the records, the least recently used first."""
        return iter(self.records.values())

    def updates_for(
        self, record: PromptRecord, *, now: float
    ) -> tuple[PromptUpdate, ...]:
        """Return the updates that rebuild a record in another directory."""
        first = PromptUpdate(
            key=record.key,
            chain=record.chain,
            age=max(now - record.requested_at, 0.0),
            engine=_hint(record, now),
        )
        if not record.stored:
            return (first,)
        return tuple(replace(first, stored=stored) for stored in record.stored)

    def _find(self, key: str, chain: HashChain) -> PromptRecord | None:
        for index_key in reversed(_index_keys(key, chain)):
            record = self.index.get(index_key)
            if record is not None:
                return record
        return None

    def _add(self, update: PromptUpdate, *, now: float) -> PromptRecord:
        while len(self.records) >= self.max_records:
            self.remove(next(iter(self.records.values())))
        record = PromptRecord(
            key=update.key, chain=update.chain, requested_at=now - update.age
        )
        self.records[id(record)] = record
        self._index(record)
        return record

    def _replace_chain(self, record: PromptRecord, chain: HashChain) -> None:
        common = _common_chain_depth(record.chain, chain)
        cut = (stored.cut(common) for stored in record.stored)
        record.stored = tuple(stored for stored in cut if stored.runs)
        self._unindex(record)
        record.chain = chain
        self._index(record)

    def _update_engine(
        self, record: PromptRecord, update: PromptUpdate, *, now: float
    ) -> None:
        if update.engine is None:
            return
        computed_at = now - update.engine.age
        if computed_at >= record.hint_at:
            record.engine = intern(update.engine.target)
            record.hint_depth = update.engine.depth
            record.hint_at = computed_at

    @staticmethod
    def _update_stored(
        record: PromptRecord, chain: HashChain, stored: StoredPrefix
    ) -> None:
        stored = _interned(stored.cut(_common_chain_depth(record.chain, chain)))
        others = [
            known for known in record.stored if known.store_url != stored.store_url
        ]
        if stored.runs:
            others.append(stored)
        record.stored = tuple(others[-MAX_STORES_PER_RECORD:])

    def _index(self, record: PromptRecord) -> None:
        for index_key in _index_keys(record.key, record.chain):
            self.index[index_key] = record

    def _unindex(self, record: PromptRecord) -> None:
        for index_key in _index_keys(record.key, record.chain):
            if self.index.get(index_key) is record:
                del self.index[index_key]


def _index_keys(key: str, chain: HashChain) -> list[bytes]:
    """Return the index keys of a prompt, the shallowest first.

    All records with the same directory key share the blocks up to that key, so
    samples at or before the key are left out. Of the samples after the key, the
    index has those at positions 1, 2, 4, 8 and so on of the chain and the last one,
    so that its memory grows with the logarithm of the prompt length.
    """
    root = bytes.fromhex(key)
    samples = chain.split_samples()
    samples_to_key = samples.index(root) + 1 if root in samples else 0
    powers = (2**power for power in range(len(samples).bit_length()))
    later_samples = [samples[power - 1] for power in powers if power > samples_to_key]
    return [root, *later_samples, *samples[-1:], chain.last_hash]


def _can_share_record(known: HashChain, new: HashChain) -> bool:
    """Return whether one record can represent both chains.

    The chains have to share at least `MIN_MERGE_SHARE` of the shorter one, because the
    merged record loses the blocks that they do not share.
    """
    shorter = min(known.depth, new.depth)
    return _common_chain_depth(known, new) >= MIN_MERGE_SHARE * shorter


def _common_chain_depth(first: HashChain, second: HashChain) -> int:
    """Return the number of leading blocks that two chains provably share."""
    if first.depth == second.depth and first.last_hash == second.last_hash:
        return first.depth
    return shared_sample_count(first, second) * SAMPLE_STRIDE_BLOCKS


def _interned(stored: StoredPrefix) -> StoredPrefix:
    """Return a copy with interned strings, which all records share in memory."""
    return replace(stored, store_url=intern(stored.store_url), tier=intern(stored.tier))


def _hint(record: PromptRecord, now: float) -> EngineHint | None:
    if not record.engine:
        return None
    age = max(now - record.hint_at, 0.0)
    return EngineHint(target=record.engine, depth=record.hint_depth, age=age)
