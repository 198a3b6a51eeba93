"""Interfaces to targets: model engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class FinishReason(StrEnum):
    """Reason for which an engine ended an answer."""

    STOP = "stop"
    LENGTH = "length"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredBlocks:
    """Stored KV blocks that the engine imports before it computes the rest.

    Attributes
    ----------
    store_url
        Store that holds the blocks.
    names
        Names of consecutive blocks from the start of the prompt; each has the
        form ``<block hash>.<generation>``. The generation identifies the export
        attempt that wrote the block.
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
        Value that the block hashes start from; requests with different salts never
        share blocks.
    weight_version
        Required version; an engine that serves another one refuses the request
        without running it.
    priority
        0 to 9; 0 is the most urgent.
    deadline
        Time left for the request when it is sent, in seconds.
    first_token
        Index of the first token to return: the number of answer tokens that the
        caller already has.
    kept
        Stored blocks to import instead of computing them.
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
    """One token of an answer; ``index`` is its position, counted from 0."""

    index: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEnd:
    """Final event of a complete answer.

    Attributes
    ----------
    weight_version
        Weight version that computed the answer.
    prompt_tokens, cached_tokens, imported_tokens
        Number of tokens in the prompt, how many of them were found in the engine's
        cache, and how many were imported from a store. The rest was computed.
    """

    finish_reason: FinishReason
    weight_version: str
    prompt_tokens: int
    cached_tokens: int
    imported_tokens: int
    answer_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an engine at an earlier time, given by ``age``.

    Attributes
    ----------
    incarnation
        Changes at each start of the engine process.
    running, waiting
        Number of requests in the batch and in the queue.
    queued_prompt_tokens
        Number of prompt tokens that are queued for prefill.
    cache_used, cache_limit
        Number of tokens in the prefix cache, and its capacity in tokens.
    age
        Seconds since the load was measured, by the engine's clock.
    """

    incarnation: str
    running: int
    waiting: int
    queued_prompt_tokens: int
    cache_used: int
    cache_limit: int
    age: float


class CacheEventKind(StrEnum):
    """Type of a change in the prefix cache of an engine."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """One change in the prefix cache of an engine.

    Events arrive with a delay, and some may be missing.
    """

    sequence: int
    kind: CacheEventKind
    block_hashes: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """The cache events after a sequence number.

    Attributes
    ----------
    incarnation
        Changes at each start of the engine process.
    last_sequence
        Sequence number of the last event, after which to ask for further events.
    """

    incarnation: str
    events: tuple[CacheEvent, ...]
    last_sequence: int


class EngineRole(StrEnum):
    """Role of an engine."""

    SERVE = "serve"
    STANDBY = "standby"


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadedModel:
    """A loaded model with its weight version and adapters."""

    model: str
    weight_version: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """Role and loaded models of an engine.

    Attributes
    ----------
    incarnation
        Changes at each start of the engine process.
    highest_fence
        Highest fencing token that the engine has seen; 0 if it does not check them.
    """

    incarnation: str
    role: EngineRole
    models: tuple[LoadedModel, ...]
    loading: tuple[LoadedModel, ...]
    highest_fence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SetState:
    """Command that sets the desired state of an engine; it is idempotent.

    Attributes
    ----------
    fence
        Fencing token. An engine that checks fencing tokens refuses the command if it
        has seen a higher one.
    """

    fence: int
    role: EngineRole
    models: tuple[LoadedModel, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportBlocks:
    """Command to write the blocks of a prompt to a store, each atomically.

    Attributes
    ----------
    generation
        Identifies the export attempt; part of the names of the stored blocks.
    tier
        Storage tier of the store to write to, such as ``memory``.
    """

    cache_salt: str
    weight_version: str
    block_hashes: tuple[str, ...]
    generation: str
    store_url: str
    tier: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ExportResult:
    """Hashes of the blocks that the store confirmed as completely written."""

    stored: tuple[str, ...]
    bytes_sent: int


class EngineClient(Protocol):
    """Client for one model engine.

    Raises
    ------
    TransportError
        The call failed; ``sent`` tells whether it may have taken effect.
    """

    def stream(
        self, request: EngineRequest
    ) -> AsyncIterator[tuple[AnswerToken | AnswerEnd, ...]]:
        """Send a request; yield the validated parts of the answer in batches."""

    async def async_cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""

    async def async_load(self) -> LoadReport:
        """Return the load report, whose ``age`` says how old it is."""

    async def async_cache_events(self, *, after: int, wait: float) -> CacheEvents:
        """Return the cache events after a sequence number.

        Waits up to ``wait`` seconds for new events.
        """

    async def async_cache_contents(self) -> CacheEvents:
        """Return all cached hashes as one stored event, for a full resync."""

    async def async_state(self) -> EngineState:
        """Return the role and the loaded models of the engine."""

    async def async_set_state(self, order: SetState) -> EngineState:
        """Send the desired state; a later ``async_state`` shows when it is reached."""

    async def async_export(self, order: ExportBlocks) -> ExportResult:
        """Export cached blocks to a store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainRequest:
    """One call to a plain service.

    Attributes
    ----------
    attempt_id
        Identifies this attempt; a response with another id is rejected.
    deadline
        Time limit for the whole call, in seconds.
    """

    attempt_id: str
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainAnswer:
    """The complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainServiceClient(Protocol):
    """Client for one plain service."""

    async def async_call(self, request: PlainRequest) -> PlainAnswer:
        """Make one call and return the complete response; the call is never retried."""
