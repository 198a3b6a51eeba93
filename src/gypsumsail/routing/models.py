"""Inputs and results of the selection of a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.context.const import KV_BYTES_PER_BLOCK
from gypsumsail.routing.const import (
    DEFAULT_DECODE_STEP_SECONDS,
    DEFAULT_LINK_BYTES_PER_SECOND,
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
)
from gypsumsail.targets.port import StoredBlocks


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRates:
    """Speeds of an engine, estimated from earlier requests.

    Attributes
    ----------
    prefill_tokens_per_second
        Prompt tokens computed per second.
    decode_step_seconds
        Seconds per answer token.
    """

    prefill_tokens_per_second: float = DEFAULT_PREFILL_TOKENS_PER_SECOND
    decode_step_seconds: float = DEFAULT_DECODE_STEP_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class ImportablePrefix:
    """Leading blocks of a request's prompt that an engine can import from a store.

    Attributes
    ----------
    names
        Names of consecutive blocks, starting with the first block of the prompt.
    block_bytes
        Bytes transferred over the link per block.
    queued_bytes
        Bytes queued for the store's link.
    allowed_bytes
        Bytes that the link budget allows this request to move.
    """

    store_url: str
    names: tuple[str, ...]
    block_bytes: int = KV_BYTES_PER_BLOCK
    queued_bytes: int = 0
    bytes_per_second: float = DEFAULT_LINK_BYTES_PER_SECOND
    allowed_bytes: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteRequest:
    """A request that needs a target.

    Attributes
    ----------
    customer
        Customer whose name selects the engine in the sticky policy.
    prompt_tokens, answer_tokens
        Tokens of the prompt, and the expected tokens of the answer.
    priority
        Priority from 0 to 9; 0 is the most urgent.
    deadline
        Seconds from now until the answer must be complete.
    sequence
        Sequence number of the request at this entry, used by round robin.
    stored_prefixes
        Stored prefixes of the prompt, one for each store that holds any.
    """

    customer: str
    prompt_tokens: int
    answer_tokens: int
    priority: int
    deadline: float
    sequence: int = 0
    stored_prefixes: tuple[ImportablePrefix, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An engine that serves the request's model and weight version.

    Attributes
    ----------
    cached_blocks
        Leading blocks of the prompt that the engine is believed to have cached.
    requests
        Number of requests believed to be running or waiting.
    tokens_ahead
        Prompt tokens believed to be computed before this request's.
    staleness
        Age in seconds of the last load report.
    round_trip_seconds
        Round-trip time in seconds to the engine's zone.
    """

    target: str
    cached_blocks: int = 0
    requests: int = 0
    tokens_ahead: float = 0.0
    staleness: float = 0.0
    round_trip_seconds: float = 0.0
    rates: EngineRates = EngineRates()


@dataclass(frozen=True, slots=True, kw_only=True)
class Expectation:
    """Expected times and work of a request on an engine.

    Attributes
    ----------
    first_token, completion
        Seconds until the first token, and until the answer is complete.
    computed_tokens, imported_tokens
        Prompt tokens that the engine computes, and that it imports.
    link_bytes
        Bytes moved from the store.
    """

    first_token: float
    completion: float
    computed_tokens: int
    imported_tokens: int
    link_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The selected engine.

    Attributes
    ----------
    kept
        Stored prefix up to the last imported block, including the leading blocks that
        the engine is believed to have cached; ``None`` without an import.
    """

    target: str
    expected: Expectation
    kept: StoredBlocks | None = None


class RefusalReason(StrEnum):
    """Reason why no engine serves the request."""

    NO_TARGET = "no target"
    DEADLINE = "deadline can't be met"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request is refused without being run.

    Attributes
    ----------
    retry_after
        Seconds after which the caller may retry.
    """

    reason: RefusalReason
    retry_after: float


Choice = Chosen | Refused
