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
    """Load of a store as read by its manager; no tiers if it is unreachable."""

    store_url: str
    incarnation: str
    tiers: tuple[TierLoad, ...]


@message("tiers.blocks_used")
@dataclass(frozen=True, slots=True, kw_only=True)
class BlocksUsed(Message):
    """Notifies the manager of a store that blocks were imported."""

    store_url: str
    generations: tuple[str, ...]


@message("tiers.find")
@dataclass(frozen=True, slots=True, kw_only=True)
class FindStored(Message):
    """Requests a prompt missing from the directory from the manager of a store."""

    store_url: str
    key: str
    hashes: tuple[str, ...]


@message("tiers.found")
@dataclass(frozen=True, slots=True, kw_only=True)
class FoundStored(Message):
    """Answer to `FindStored`."""

    stored: Stored | None
