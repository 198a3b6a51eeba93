"""Port to store VMs, which keep blocks in memory and on disk."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class Tier(StrEnum):
    """A tier of a store."""

    MEMORY = "memory"
    DISK = "disk"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredBlock:
    """A whole block as a store lists it.

    Attributes
    ----------
    name
        ``<block hash>.<generation>``; a name is never used for other content.
    """

    name: str
    tier: Tier
    size: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TierLoad:
    """Room and link of one tier.

    Attributes
    ----------
    queued_bytes
        Bytes that wait for the link.
    bytes_per_second
        Speed of the link as measured by the store over the last seconds.
    """

    tier: Tier
    used: int
    limit: int
    queued_bytes: int
    bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLoad:
    """Load of a store and the sequence number of its last change."""

    incarnation: str
    tiers: tuple[TierLoad, ...]
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreContents:
    """Whole blocks of a store."""

    incarnation: str
    sequence: int
    blocks: tuple[StoredBlock, ...]


class Store(Protocol):
    """One store VM.

    Raises
    ------
    TransportError
        The call failed; ``sent`` says whether it may have taken effect.
    """

    async def async_load(self) -> StoreLoad:
        """Return room and link use."""

    async def async_contents(self, *, after: int) -> StoreContents:
        """Return the blocks that became whole after a sequence number."""

    async def async_hold(self, names: tuple[str, ...], *, seconds: float) -> set[str]:
        """Hold blocks against freeing; return those that exist."""

    async def async_free(self, names: tuple[str, ...]) -> None:
        """Free blocks; a held one is freed when its last hold ends."""

    async def async_move(self, names: tuple[str, ...], *, tier: Tier) -> None:
        """Move blocks between the tiers of the store."""
