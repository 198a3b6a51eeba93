"""Messages between entries about stores."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.context.models import StoredPrefix
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message
from gypsumsail.stores.port import TierLoad


@message("tiers.store_report")
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreReport(Message):
    """Load of a store as read by its manager; no tiers if it is unreachable.

    Attributes
    ----------
    incarnation
        Identifier of one run of the store process; empty if it is unreachable.
    """

    store_url: str
    incarnation: str
    tiers: tuple[TierLoad, ...]


@message("tiers.blocks_used")
@dataclass(frozen=True, slots=True, kw_only=True)
class ImportNotice(Message):
    """Notifies the manager of a store that an engine is about to import blocks."""

    store_url: str
    generations: tuple[str, ...]


@message("tiers.find")
@dataclass(frozen=True, slots=True, kw_only=True)
class FindStored(Message):
    """Asks the manager of a store for blocks of a prompt that the directory lacks."""

    store_url: str
    key: str
    hashes: tuple[str, ...]


@message("tiers.found")
@dataclass(frozen=True, slots=True, kw_only=True)
class FoundStored(Message):
    """Answer to `FindStored`.

    Attributes
    ----------
    stored
        Leading blocks of the prompt, or ``None`` if the listing has none or the
        entry does not manage the store.
    """

    stored: StoredPrefix | None
