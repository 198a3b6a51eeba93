"""Protocol and data types of store VMs, which keep blocks in memory and on disk."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class Tier(StrEnum):
    """A storage tier of a store."""

    MEMORY = "memory"
    DISK = "disk"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredBlock:
    """A complete block in a store's listing.

    Attributes
    ----------
    name
        Name in the form ``<block hash>.<generation>``. A name is never reused for
        different content.
    size
        Size in bytes.
    """

    name: str
    tier: Tier
    size: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TierLoad:
    """Capacity and link use of one tier.

    The link is the path over which blocks are written to the tier and read from it.

    Attributes
    ----------
    used, limit
        Occupied and total capacity in bytes.
    queued_bytes
        Number of bytes that wait for transfer over the link.
    bytes_per_second
        Recent throughput of the link, as measured by the store.
    """

    tier: Tier
    used: int
    limit: int
    queued_bytes: int
    bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLoad:
    """Load of a store and the sequence number of its last change.

    Attributes
    ----------
    incarnation
        Identifier that changes each time the store is restarted or replaced. Sequence
        numbers are valid only within one incarnation.
    """

    incarnation: str
    tiers: tuple[TierLoad, ...]
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreContents:
    """Complete blocks of a store.

    Attributes
    ----------
    incarnation
        The same as in ``StoreLoad``.
    sequence
        Sequence number of the store's last change, which the next call passes as
        ``after`` while ``incarnation`` stays the same.
    """

    incarnation: str
    sequence: int
    blocks: tuple[StoredBlock, ...]


class Store(Protocol):
    """Client of one store VM.

    Raises
    ------
    TransportError
        The call failed. If ``sent`` is true, it may have taken effect; if it is false,
        it certainly had no effect.
    """

    async def async_load(self) -> StoreLoad:
        """Return the capacity and link use of each tier."""

    async def async_contents(self, *, after: int) -> StoreContents:
        """Return the blocks that were completed after a sequence number."""

    async def async_hold(self, names: tuple[str, ...], *, seconds: float) -> set[str]:
        """Protect blocks from being freed; return the names of those that exist.

        The protection lasts for ``seconds``.
        """

    async def async_free(self, names: tuple[str, ...]) -> None:
        """Free blocks; a held block is freed when its last hold ends."""

    async def async_move(self, names: tuple[str, ...], *, tier: Tier) -> None:
        """Move blocks between the tiers of the store."""
