"""Validation models of a store's response bodies."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.stores.port import Tier

NonNegativeInt = Annotated[int, Field(ge=0)]
Rate = Annotated[float, Field(ge=0, allow_inf_nan=False)]


class WireModel(BaseModel):
    """Base of the response bodies; unknown fields are ignored."""

    model_config = ConfigDict(frozen=True)


class TierBody(WireModel):
    """Capacity and link use of one tier."""

    tier: Tier
    used: NonNegativeInt
    limit: NonNegativeInt
    queued_bytes: NonNegativeInt
    bytes_per_second: Rate


class StoreLoadBody(WireModel):
    """Load of a store."""

    incarnation: str
    sequence: NonNegativeInt
    tiers: tuple[TierBody, ...]


class BlockBody(WireModel):
    """A block in a store's listing."""

    name: str
    tier: Tier
    size: NonNegativeInt


class ContentsBody(WireModel):
    """Complete blocks of a store."""

    incarnation: str
    sequence: NonNegativeInt
    blocks: tuple[BlockBody, ...]


class HeldBody(WireModel):
    """Names of the blocks that a hold request protects."""

    held: tuple[str, ...]
