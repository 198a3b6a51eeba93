"""What a choice of target looks at, and what it gives."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.context.const import KV_BYTES_PER_BLOCK
from gypsumsail.routing.const import (
    DEFAULT_DECODE_STEP_SECONDS,
    DEFAULT_LINK_BYTES_PER_SECOND,
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
)
from gypsumsail.targets.port import KeptBlocks


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRates:
    """Speed of an engine as learnt from its outcomes."""

    prefill_tokens_per_second: float = DEFAULT_PREFILL_TOKENS_PER_SECOND
    decode_step_seconds: float = DEFAULT_DECODE_STEP_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptPrefix:
    """Blocks of the request's prompt that a store holds, from its start.

    Attributes
    ----------
    names
        Names of consecutive blocks, the first block of the prompt first.
    block_bytes
        Bytes that one block takes on the link.
    queued_bytes
        Bytes that wait for the store's link.
    allowed_bytes
        Bytes that the link budget lets this request move.
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
        Customer, which the sticky policy goes by.
    prompt_tokens, answer_tokens
        Tokens of the prompt, and those expected of the answer.
    priority
        0 is the most urgent of 10.
    deadline
        Seconds left.
    sequence
        Number of the request at this entry, which round robin goes by.
    kept
        What stores hold of the prompt.
    """

    customer: str
    prompt_tokens: int
    answer_tokens: int
    priority: int
    deadline: float
    sequence: int = 0
    kept: tuple[KeptPrefix, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An engine that serves the request's model and weight version.

    Attributes
    ----------
    cached_blocks
        Blocks of the prompt, from its start, believed to be in the engine.
    requests
        Requests believed to be running or waiting.
    tokens_ahead
        Prompt tokens believed to be computed before this request's.
    staleness
        Seconds since the load was read.
    zone_seconds
        Time that the way to the engine's zone and back takes.
    """

    target: str
    cached_blocks: int = 0
    requests: int = 0
    tokens_ahead: float = 0.0
    staleness: float = 0.0
    zone_seconds: float = 0.0
    rates: EngineRates = EngineRates()


@dataclass(frozen=True, slots=True, kw_only=True)
class Expectation:
    """What is expected of a request on an engine.

    Attributes
    ----------
    first_token, whole_answer
        Seconds until the first token, and until the whole answer.
    computed_tokens, imported_tokens
        Prompt tokens that the engine computes, and imports.
    link_bytes
        Bytes moved from the store.
    """

    first_token: float
    whole_answer: float
    computed_tokens: int
    imported_tokens: int
    link_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Chosen:
    """The engine that gets the request, and what it is to import."""

    target: str
    expected: Expectation
    kept: KeptBlocks | None = None


class RefusalReason(StrEnum):
    """Why no engine gets the request."""

    NO_TARGET = "no target"
    DEADLINE = "deadline can't be met"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request is not run.

    Attributes
    ----------
    retry_after
        Seconds after which the caller may come back.
    """

    reason: RefusalReason
    retry_after: float


Choice = Chosen | Refused
