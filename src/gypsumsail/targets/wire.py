"""Validated bodies of an engine's answers."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.targets.port import CacheEventKind, EngineRole

Count = Annotated[int, Field(ge=0)]
Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]


class WireModel(BaseModel):
    """Base of the bodies; fields that are not known are ignored."""

    model_config = ConfigDict(frozen=True)


class LoadBody(WireModel):
    """Load report."""

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
    """Cache events after a sequence number."""

    incarnation: str
    events: tuple[CacheEventBody, ...]
    next: Count


class LoadedModelBody(WireModel):
    """A loaded model."""

    model: str
    weight_version: str
    adapters: tuple[str, ...] = ()


class StateBody(WireModel):
    """What an engine has loaded."""

    incarnation: str
    role: EngineRole
    models: tuple[LoadedModelBody, ...]
    loading: tuple[LoadedModelBody, ...]
    highest_fence: Count


class FenceBody(WireModel):
    """Refusal of an order with an old fencing number."""

    highest_fence: Count


class ExportBody(WireModel):
    """Result of an export."""

    stored: tuple[str, ...]
    bytes_sent: Count
