"""Validation models for the response bodies of an engine."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.targets.port import CacheEventKind, EngineRole

Count = Annotated[int, Field(ge=0)]
Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]


class WireModel(BaseModel):
    """Base class of the bodies; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)


class LoadBody(WireModel):
    """Load report of an engine."""

    incarnation: str
    running: Count
    waiting: Count
    queued_prompt_tokens: Count
    cache_used: Count
    cache_limit: Count
    age: Seconds


class CacheEventBody(WireModel):
    """One cache event."""

    sequence: Count
    kind: CacheEventKind
    hashes: tuple[str, ...]


class CacheEventsBody(WireModel):
    """The cache events after a sequence number."""

    incarnation: str
    events: tuple[CacheEventBody, ...]
    next: Count


class LoadedModelBody(WireModel):
    """A loaded model with its weight version and adapters."""

    model: str
    weight_version: str
    adapters: tuple[str, ...] = ()


class StateBody(WireModel):
    """Role and loaded models of an engine."""

    incarnation: str
    role: EngineRole
    models: tuple[LoadedModelBody, ...]
    loading: tuple[LoadedModelBody, ...]
    highest_fence: Count


class OutdatedFencingTokenBody(WireModel):
    """Refusal of a command with an outdated fencing token."""

    highest_fence: Count


class ExportBody(WireModel):
    """Result of an export to a store."""

    stored: tuple[str, ...]
    bytes_sent: Count
