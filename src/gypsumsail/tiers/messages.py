"""Messages between entries about stores."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.context.models import Stored
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message
from gypsumsail.stores.port import TierLoad


@message("tiers.store_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreReport(Message):
    """Load of a store as its keeper read it; without tiers it can't be reached."""

    store_url: str
    incarnation: str
    tiers: tuple[TierLoad, ...]


@message("tiers.blocks_used")
@dataclass(frozen=True, slots=True, kw_only=True)
class BlocksUsed(Message):
    """Tells a store's keeper that blocks were imported."""

    store_url: str
    generations: tuple[str, ...]


@message("tiers.find")
@dataclass(frozen=True, slots=True, kw_only=True)
class FindStored(Message):
    """Asks a store's keeper for a prompt that the directory doesn't know."""

    store_url: str
    key: str
    hashes: tuple[str, ...]


@message("tiers.found")
@dataclass(frozen=True, slots=True, kw_only=True)
class FoundStored(Message):
    """Answer to `FindStored`."""

    stored: Stored | None
