"""Replica of the contents of a store, grouped by export."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gypsumsail.context.const import HASH_BYTES
from gypsumsail.context.generation import Generation, is_hex, parse_generation
from gypsumsail.context.models import StoredPrefix, StoredRun
from gypsumsail.stores.port import StoreContents, StoredBlock, Tier


@dataclass(slots=True, kw_only=True)
class StoredExport:
    """Blocks in a store that one export wrote.

    Attributes
    ----------
    hashes
        Hashes of the blocks, concatenated; each has `HASH_BYTES`.
    block_size
        Bytes that one block takes in the store.
    used_at
        Time of the last import, or of the listing that first showed the export if it
        has not been imported since, by the clock of this entry.
    imports
        Number of imports of the blocks.
    """

    generation: Generation
    tier: Tier
    block_size: int
    used_at: float
    hashes: bytes = b""
    imports: int = 0

    @property
    def blocks(self) -> int:
        """Return the number of blocks."""
        return len(self.hashes) // HASH_BYTES

    @property
    def size(self) -> int:
        """Return the bytes that the export takes in the store."""
        return self.blocks * self.block_size

    def add(self, block_hash: str) -> None:
        """Add a block; a block that a repeated listing reports again is ignored."""
        packed = bytes.fromhex(block_hash)
        if packed not in self.hashes:
            self.hashes += packed

    def prefix_length(self, hashes: tuple[str, ...]) -> int:
        """Return the number of leading hashes whose blocks this export wrote."""
        for count, block_hash in enumerate(hashes):
            if bytes.fromhex(block_hash) not in self.hashes:
                return count
        return len(hashes)

    def hex_hashes(self) -> list[str]:
        """Return the hashes in hexadecimal."""
        text = self.hashes.hex()
        digits = 2 * HASH_BYTES
        return [text[start : start + digits] for start in range(0, len(text), digits)]

    def names(self) -> tuple[str, ...]:
        """Return the names of the blocks."""
        return tuple(f"{block}.{self.generation}" for block in self.hex_hashes())


class StoreView:
    """Contents of a store according to its listings.

    Listings only add blocks. The entry that frees blocks has to remove them from
    the view. A restart of the store clears the view.

    Attributes
    ----------
    incarnation
        Identifier of one run of the store process; changes with each restart.
    sequence
        Sequence number up to which the store was listed; the next listing has only
        the later blocks.
    exports
        Exports by the text of their generation.
    by_key
        Texts of the generations by the directory key of their prompt.
    foreign
        Number of listed names that no export of this system can have written.
    """

    def __init__(self, store_url: str) -> None:
        self.store_url = store_url
        self.incarnation = ""
        self.sequence = 0
        self.exports: dict[str, StoredExport] = {}
        self.by_key: dict[str, list[str]] = {}
        self.foreign = 0

    def apply(self, contents: StoreContents, *, now: float) -> bool:
        """Apply a listing; return whether it has to be read again from sequence 0.

        This is necessary after the first listing that follows a store restart.
        """
        if contents.incarnation != self.incarnation:
            first = not self.incarnation
            self.incarnation = contents.incarnation
            self.sequence = 0
            self.exports.clear()
            self.by_key.clear()
            if not first:
                return True
        for block in contents.blocks:
            self._add(block, now=now)
        self.sequence = max(self.sequence, contents.sequence)
        return False

    def record_imports(self, generations: Iterable[str], *, now: float) -> None:
        """Record an import of the blocks of some generations."""
        for generation in generations:
            export = self.exports.get(generation)
            if export is not None:
                export.used_at = now
                export.imports += 1

    def remove(self, generation: str) -> None:
        """Remove an export whose blocks were freed."""
        export = self.exports.pop(generation, None)
        if export is None:
            return
        others = [
            name for name in self.by_key[export.generation.key] if name != generation
        ]
        if others:
            self.by_key[export.generation.key] = others
        else:
            del self.by_key[export.generation.key]

    def find(self, key: str, hashes: tuple[str, ...]) -> StoredPrefix | None:
        """Return the leading blocks of a prompt that the store holds.

        Lost directory records are recovered this way. The search does not rely on
        the order of a listing, because the store completes blocks in any order.
        """
        exports = [self.exports[name] for name in self.by_key.get(key, ())]
        best: tuple[StoredRun, ...] = ()
        for head in exports:
            if head.generation.start:
                continue
            runs = _consecutive_runs(head, exports, hashes)
            if runs and (not best or runs[-1].end > best[-1].end):
                best, tier = runs, head.tier
        if not best:
            return None
        return StoredPrefix(store_url=self.store_url, tier=str(tier), runs=best)

    def _add(self, block: StoredBlock, *, now: float) -> None:
        block_hash, _, text = block.name.partition(".")
        if not _is_hash(block_hash):
            self.foreign += 1
            return
        export = self.exports.get(text)
        if export is None:
            generation = parse_generation(text)
            if generation is None:
                self.foreign += 1
                return
            export = StoredExport(
                generation=generation,
                tier=block.tier,
                block_size=block.size,
                used_at=now,
            )
            self.exports[text] = export
            self.by_key.setdefault(generation.key, []).append(text)
        export.tier = block.tier
        export.add(block_hash)


def _consecutive_runs(
    head: StoredExport, exports: list[StoredExport], hashes: tuple[str, ...]
) -> tuple[StoredRun, ...]:
    """Return the runs of a prompt without gaps, starting with one export."""
    depth = 0
    runs: list[StoredRun] = []
    parts = [head, *exports]
    while True:
        for part in parts:
            end = depth + part.prefix_length(hashes[depth:])
            if part.generation.start == depth and end > depth:
                runs.append(StoredRun(end=end, generation=str(part.generation)))
                break
        else:
            return tuple(runs)
        parts = exports
        depth = runs[-1].end


def _is_hash(text: str) -> bool:
    return len(text) == 2 * HASH_BYTES and is_hex(text)
