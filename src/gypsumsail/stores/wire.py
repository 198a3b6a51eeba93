"""Validated bodies of a store's answers."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from gypsumsail.stores.port import Tier

Count = Annotated[int, Field(ge=0)]
Rate = Annotated[float, Field(ge=0, allow_inf_nan=False)]


class WireModel(BaseModel):
    """Base of the bodies; fields that are not known are ignored."""

    model_config = ConfigDict(frozen=True)


class TierBody(WireModel):
    """Room and link of one tier."""

    tier: Tier
    used: Count
    limit: Count
    queued_bytes: Count
    bytes_per_second: Rate


class StoreLoadBody(WireModel):
    """Load of a store."""

    incarnation: str
    sequence: Count
    tiers: tuple[TierBody, ...]


class BlockBody(WireModel):
    """One block of the contents."""

    name: str
    tier: Tier
    size: Count


class ContentsBody(WireModel):
    """Whole blocks of a store."""

    incarnation: str
    sequence: Count
    blocks: tuple[BlockBody, ...]


class HeldBody(WireModel):
    """Blocks that a hold has found."""

    held: tuple[str, ...]
