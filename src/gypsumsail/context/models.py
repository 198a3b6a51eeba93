"""Models of cached prompts, and the messages of the directory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.context.chain import HashChain
from gypsumsail.context.const import SHORT_HASH_BYTES
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRun:
    """Consecutive blocks of a prompt that one export wrote.

    Attributes
    ----------
    end
        Depth after the last block. The first block follows the last block of the
        previous run.
    generation
        Text of the generation of the export.
    """

    end: int
    generation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredPrefix:
    """Leading blocks of a prompt in one store.

    Attributes
    ----------
    tier
        Tier of the last export, or of the first run if the prefix was found in a store
        listing. Outdated if the blocks were moved since.
    runs
        Runs of blocks in order of depth, without gaps.
    """

    store_url: str
    tier: str
    runs: tuple[StoredRun, ...]

    @property
    def depth(self) -> int:
        """Return the number of blocks."""
        return self.runs[-1].end if self.runs else 0

    def cut(self, depth: int) -> StoredPrefix:
        """Return a copy with at most the first ``depth`` blocks."""
        runs: list[StoredRun] = []
        for run in self.runs:
            if runs and runs[-1].end >= depth:
                break
            end = min(run.end, depth)
            if end > 0:
                runs.append(StoredRun(end=end, generation=run.generation))
        return StoredPrefix(store_url=self.store_url, tier=self.tier, runs=tuple(runs))

    def names(self, hashes: tuple[str, ...]) -> tuple[str, ...]:
        """Return the block names for the block hashes of a prompt."""
        names: list[str] = []
        for run in self.runs:
            part = hashes[len(names) : run.end]
            names.extend(f"{block}.{run.generation}" for block in part)
        return tuple(names)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineHint:
    """Engine that last computed a prompt.

    Attributes
    ----------
    depth
        Number of leading blocks that the engine has in its cache after it computed
        the prompt.
    age
        Seconds since the engine computed the prompt.
    """

    target: str
    depth: int
    age: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LookupResult:
    """Places where a prompt is expected to be cached.

    Attributes
    ----------
    stored
        Leading blocks of the prompt by store.
    engine
        Engine that last computed the prompt, or ``None`` if none is known.
    request_age
        Seconds since the prompt, or a prompt with the same leading blocks, was
        last requested; ``None`` if the prompt is new.
    """

    stored: tuple[StoredPrefix, ...] = ()
    engine: EngineHint | None = None
    request_age: float | None = None


EMPTY_LOOKUP_RESULT: Final = LookupResult()


def _check_key(key: str) -> None:
    if len(bytes.fromhex(key)) != SHORT_HASH_BYTES:
        raise ValueError("directory key has the wrong length")


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptUpdate:
    """Update of the directory record of one prompt.

    Attributes
    ----------
    key
        Directory key of the prompt.
    age
        Seconds since the prompt was last requested.
    """

    key: str
    chain: HashChain
    age: float
    engine: EngineHint | None = None
    stored: StoredPrefix | None = None

    def __post_init__(self) -> None:
        _check_key(self.key)


@message("context.publish")
@dataclass(frozen=True, slots=True, kw_only=True)
class Publish(Message):
    """Publishes updates to a directory shard."""

    updates: tuple[PromptUpdate, ...]


@message("context.lookup")
@dataclass(frozen=True, slots=True, kw_only=True)
class LookUp(Message):
    """Requests the record of a prompt from a directory shard."""

    key: str
    chain: HashChain

    def __post_init__(self) -> None:
        _check_key(self.key)


@message("context.found")
@dataclass(frozen=True, slots=True, kw_only=True)
class Found(Message):
    """Answer to `LookUp`: a record that begins like the prompt.

    Of the index keys that the prompt shares with any record, the deepest selects the
    record. Another record may share a longer prefix, because the index has only some
    of the hash samples and only one record for each index key.

    Attributes
    ----------
    chain
        Hash chain of the record, or ``None`` if there is no record.
    age
        Seconds since the prompt of the record was last requested.
    """

    chain: HashChain | None = None
    stored: tuple[StoredPrefix, ...] = ()
    engine: EngineHint | None = None
    age: float = 0.0


@message("context.withdraw")
@dataclass(frozen=True, slots=True, kw_only=True)
class Withdraw(Message):
    """Notifies a directory shard that a store has fewer blocks than recorded."""

    key: str
    chain: HashChain
    store_url: str
    depth: int

    def __post_init__(self) -> None:
        _check_key(self.key)


@message("context.store_lost")
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLost(Message):
    """Notifies the other entries that a store restarted and lost its contents."""

    store_url: str
