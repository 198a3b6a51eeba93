"""What is kept of a prompt, and the messages about it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.context.chain import HashChain
from gypsumsail.context.const import SHORT_HASH_BYTES
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRun:
    """Consecutive blocks that one export wrote.

    Attributes
    ----------
    end
        Depth after the last block; the first follows the run before.
    """

    end: int
    generation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """Blocks of a prompt in one store, from the prompt's start.

    Attributes
    ----------
    tier
        Tier that the blocks were last written or moved to.
    """

    store_url: str
    tier: str
    runs: tuple[StoredRun, ...]

    @property
    def depth(self) -> int:
        """Return the number of blocks."""
        return self.runs[-1].end if self.runs else 0

    def cut(self, depth: int) -> Stored:
        """Return the part up to a depth."""
        runs: list[StoredRun] = []
        for run in self.runs:
            if runs and runs[-1].end >= depth:
                break
            end = min(run.end, depth)
            if end > 0:
                runs.append(StoredRun(end=end, generation=run.generation))
        return Stored(store_url=self.store_url, tier=self.tier, runs=tuple(runs))

    def names(self, hashes: tuple[str, ...]) -> tuple[str, ...]:
        """Return the block names for a prompt's own hashes."""
        names: list[str] = []
        for run in self.runs:
            part = hashes[len(names) : run.end]
            names.extend(f"{block}.{run.generation}" for block in part)
        return tuple(names)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineHint:
    """The engine that last ran a prompt, and how much of it was cached there."""

    target: str
    depth: int
    age: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LookupResult:
    """What is believed to be kept of a prompt.

    Attributes
    ----------
    seen_age
        Seconds since the prompt, or one that shares its start, was last seen;
        ``None`` when it is new.
    """

    stored: tuple[Stored, ...] = ()
    engine: EngineHint | None = None
    seen_age: float | None = None


EMPTY_LOOKUP_RESULT: Final = LookupResult()


def _check_key(key: str) -> None:
    if len(bytes.fromhex(key)) != SHORT_HASH_BYTES:
        raise ValueError("directory key has the wrong length")


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptUpdate:
    """What an entry tells a directory about one prompt.

    Attributes
    ----------
    key
        Directory key of the prompt.
    age
        Seconds since the prompt was seen.
    """

    key: str
    chain: HashChain
    age: float
    engine: EngineHint | None = None
    stored: Stored | None = None

    def __post_init__(self) -> None:
        _check_key(self.key)


@message("context.publish")
@dataclass(frozen=True, slots=True, kw_only=True)
class Publish(Message):
    """Tells a directory of prompts."""

    updates: tuple[PromptUpdate, ...]


@message("context.lookup")
@dataclass(frozen=True, slots=True, kw_only=True)
class LookUp(Message):
    """Asks a directory what is kept of a prompt."""

    key: str
    chain: HashChain

    def __post_init__(self) -> None:
        _check_key(self.key)


@message("context.found")
@dataclass(frozen=True, slots=True, kw_only=True)
class Found(Message):
    """Answer to `LookUp`: the record that shares most with the prompt.

    Attributes
    ----------
    chain
        Hash chain of the record; ``None`` when there is none.
    """

    chain: HashChain | None = None
    stored: tuple[Stored, ...] = ()
    engine: EngineHint | None = None
    age: float = 0.0


@message("context.withdraw")
@dataclass(frozen=True, slots=True, kw_only=True)
class Withdraw(Message):
    """Tells a directory that a store holds less of a prompt than it says."""

    key: str
    chain: HashChain
    store_url: str
    depth: int

    def __post_init__(self) -> None:
        _check_key(self.key)


@message("context.store_lost")
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLost(Message):
    """Tells all directories that a store came back empty or is gone."""

    store_url: str
