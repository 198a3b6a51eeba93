"""Port to targets: model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class FinishReason(StrEnum):
    """Why an engine ended an answer."""

    STOP = "stop"
    LENGTH = "length"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredBlocks:
    """Kept context that the engine is to import before it computes the rest.

    Attributes
    ----------
    store_url
        Store that holds the blocks.
    names
        Names of consecutive blocks from the start of the prompt; each has the
        form ``<block hash>.<generation>``.
    """

    store_url: str
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRequest:
    """One request to a model engine.

    Attributes
    ----------
    attempt_id
        Identifies this attempt; the engine returns it in every event.
    cache_salt
        Root of the block hashes: sharing between two salts can't happen.
    weight_version
        The engine refuses the request, not run, when it serves another one.
    priority
        0 is the most urgent of 10.
    deadline
        Seconds left.
    first_token
        Number of answer tokens that the caller has already; the answer starts
        with the one after them.
    """

    attempt_id: str
    model: str
    adapter: str
    weight_version: str
    prompt: str
    max_tokens: int
    cache_salt: str
    priority: int
    deadline: float
    first_token: int = 0
    kept: StoredBlocks | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerToken:
    """One token of an answer; ``index`` counts from 0 over the whole answer."""

    index: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEnd:
    """End of a whole answer.

    Attributes
    ----------
    weight_version
        The version that computed the answer.
    prompt_tokens, cached_tokens, imported_tokens
        Tokens of the prompt; of these found in the engine's cache; of these
        imported from a store. The rest was computed.
    """

    finish_reason: FinishReason
    weight_version: str
    prompt_tokens: int
    cached_tokens: int
    imported_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an engine; it lags.

    Attributes
    ----------
    running, waiting
        Requests in the batch and in the queue.
    queued_prompt_tokens
        Prompt tokens that wait to be computed.
    cache_used, cache_limit
        Tokens in the prefix cache and its limit.
    age
        Seconds since the load was read, by the engine's clock.
    """

    incarnation: str
    running: int
    waiting: int
    queued_prompt_tokens: int
    cache_used: int
    cache_limit: int
    age: float


class CacheEventKind(StrEnum):
    """What changed in an engine's prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """One change of an engine's prefix cache; late and with gaps."""

    sequence: int
    kind: CacheEventKind
    block_hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """Cache events after a sequence number."""

    incarnation: str
    events: tuple[CacheEvent, ...]
    next_sequence: int


class EngineRole(StrEnum):
    """What an engine does."""

    SERVE = "serve"
    STANDBY = "standby"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadedModel:
    """A model with a version and the adapters on top of it."""

    model: str
    weight_version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine has loaded.

    Attributes
    ----------
    highest_fence
        Highest fencing number that the engine has seen; 0 when it ignores them.
    """

    incarnation: str
    role: EngineRole
    models: tuple[LoadedModel, ...]
    loading: tuple[LoadedModel, ...]
    highest_fence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SetState:
    """Order to an engine: the wanted end state, safe to repeat."""

    fence: int
    role: EngineRole
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportBlocks:
    """Order to write blocks of a prompt to a store, each whole or not at all."""

    cache_salt: str
    weight_version: str
    block_hashes: tuple[str, ...]
    generation: str
    store_url: str
    tier: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportResult:
    """Hashes of the blocks that the store confirmed as whole."""

    stored: tuple[str, ...]
    bytes_sent: int


class Engine(Protocol):
    """One model engine.

    Raises
    ------
    TransportError
        The call failed; ``sent`` says whether it may have taken effect.
    """

    def stream(
        self, request: EngineRequest
    ) -> AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]:
        """Send a request; yield what arrives, in batches, each checked."""

    async def async_cancel(self, attempt_id: str) -> None:
        """Stop the work on an attempt."""

    async def async_load(self) -> LoadReport:
        """Return the lagging load report."""

    async def async_cache_events(self, *, after: int, wait: float) -> CacheEvents:
        """Return cache events after a sequence number."""

    async def async_cache_contents(self) -> CacheEvents:
        """Return all cached hashes as one stored event: a resync."""

    async def async_state(self) -> EngineState:
        """Return what is loaded."""

    async def async_set_state(self, order: SetState) -> EngineState:
        """Send an order; it is done when a later state shows it."""

    async def async_export(self, order: ExportBlocks) -> ExportResult:
        """Export blocks to a store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainRequest:
    """One call to a plain service."""

    attempt_id: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainAnswer:
    """The whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(Protocol):
    """One plain service target."""

    async def async_call(self, request: PlainRequest) -> PlainAnswer:
        """Make one call and return its whole answer; never sends twice."""
