"""What one store holds, by the exports that wrote it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from gypsumsail.context.chain import make_chain
from gypsumsail.context.const import HASH_BYTES
from gypsumsail.context.generation import Generation, is_hex, parse_generation
from gypsumsail.context.models import PromptNote, Stored, StoredRun
from gypsumsail.stores.port import StoreContents, StoredBlock, Tier


@dataclass(slots=True, kw_only=True)
class StoredExport:
    """The blocks of one export, packed.

    Attributes
    ----------
    hashes
        Hashes of the blocks in the order of the prompt, `HASH_BYTES` each.
    block_size
        Bytes that one block takes in the store.
    used_at
        Time of the last export or import.
    imports
        How often the blocks were imported.
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
        """Add a block unless it is there, as when a listing is read twice."""
        packed = bytes.fromhex(block_hash)
        if packed not in self.hashes:
            self.hashes += packed

    def hex_hashes(self) -> list[str]:
        """Return the hashes in hexadecimal."""
        text = self.hashes.hex()
        digits = 2 * HASH_BYTES
        return [text[start : start + digits] for start in range(0, len(text), digits)]

    def names(self) -> tuple[str, ...]:
        """Return the names of the blocks."""
        return tuple(f"{block}.{self.generation}" for block in self.hex_hashes())


class StoreView:
    """The contents of a store as its listing tells them.

    A listing only adds: what is freed is taken out by whoever frees it. After
    a restart of the store, the view starts again from nothing.

    Attributes
    ----------
    exports
        Exports by the text of their generation.
    foreign
        Names that no export of this system can have written.
    """

    def __init__(self, store_url: str) -> None:
        self.store_url = store_url
        self.incarnation = ""
        self.sequence = 0
        self.exports: dict[str, StoredExport] = {}
        self.foreign = 0

    def apply(self, contents: StoreContents, *, now: float) -> bool:
        """Take a listing; return whether it has to be read again from 0.

        That is so when the store was restarted since the last listing.
        """
        if contents.incarnation != self.incarnation:
            first = not self.incarnation
            self.incarnation = contents.incarnation
            self.sequence = 0
            self.exports.clear()
            if not first:
                return True
        for block in contents.blocks:
            self._add(block, now=now)
        self.sequence = max(self.sequence, contents.sequence)
        return False

    def used(self, generations: Iterable[str], *, now: float) -> None:
        """Take that blocks were imported."""
        for generation in generations:
            export = self.exports.get(generation)
            if export is not None:
                export.used_at = now
                export.imports += 1

    def freed(self, generation: str) -> None:
        """Take that the blocks of an export were freed."""
        self.exports.pop(generation, None)

    def notes(self, *, now: float) -> Iterator[PromptNote]:
        """Return notes on all prompts, from which directories are rebuilt.

        Where a block is missing in the middle the note is wrong, and a reader's
        hold shows it before anything is read.
        """
        by_key: dict[str, list[StoredExport]] = {}
        for export in self.exports.values():
            by_key.setdefault(export.generation.key, []).append(export)
        for exports in by_key.values():
            exports.sort(key=lambda export: export.generation.start)
            yield from self._notes_of_key(exports, now=now)

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
        export.add(block_hash)

    def _notes_of_key(
        self, exports: list[StoredExport], *, now: float
    ) -> Iterator[PromptNote]:
        heads = [export for export in exports if export.generation.start == 0]
        for head in heads:
            hashes = head.hex_hashes()
            runs = [StoredRun(end=len(hashes), generation=str(head.generation))]
            for export in exports if len(heads) == 1 else ():
                if export.generation.start == len(hashes):
                    hashes.extend(export.hex_hashes())
                    run = StoredRun(end=len(hashes), generation=str(export.generation))
                    runs.append(run)
            yield PromptNote(
                key=head.generation.key,
                chain=make_chain(hashes),
                age=max(now - head.used_at, 0.0),
                stored=Stored(
                    store_url=self.store_url, tier=str(head.tier), runs=tuple(runs)
                ),
            )


def _is_hash(text: str) -> bool:
    return len(text) == 2 * HASH_BYTES and is_hex(text)
