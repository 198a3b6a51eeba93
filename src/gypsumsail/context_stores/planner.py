"""Decides which parts of a prompt an engine fetches and saves, and where.

Prompts often start with the same long document as earlier prompts. A part that any
engine or store still has is fetched rather than computed again, and a part that none
has is saved once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.context_stores.const import MIN_PART_TOKENS
from gypsumsail.gateway.models import Address, PromptPart


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchSource:
    """An engine or a store that has a complete part.

    Attributes
    ----------
    is_same_zone
        Whether the source is in the availability zone of the fetching engine.
    bytes_per_second
        Speed of the source's link.
    """

    address: Address
    is_same_zone: bool
    bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SaveDestination:
    """A store to which a part can be saved.

    Attributes
    ----------
    is_same_zone
        Whether the store is in the availability zone of the saving engine.
    bytes_per_second
        Speed of the store's link.
    free_tokens
        Free capacity of the store in tokens.
    """

    address: Address
    is_same_zone: bool
    bytes_per_second: float
    free_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PartOptions:
    """Sources and destinations of one part of a prompt.

    Attributes
    ----------
    is_shared
        Whether other prompts may contain the part.
    is_stored
        Whether a store has the part or is about to have it.
    """

    part: PromptPart
    is_shared: bool
    is_stored: bool
    sources: tuple[FetchSource, ...]
    destinations: tuple[SaveDestination, ...]


def plan_fetch(parts: Sequence[PartOptions]) -> tuple[Address | None, ...]:
    """Return a source for each part, or ``None``.

    An engine can't use a part if it lacks an earlier one. Parts after one without a
    source get a source nevertheless, because the engine may have the missing part in
    its cache. Parts that the engine is believed to have cached get a source as well;
    the engine skips their fetch if it still has them.
    """
    found: list[Address | None] = []
    for options in parts:
        if not options.sources or options.part.tokens < MIN_PART_TOKENS:
            found.append(None)
            continue
        best = max(
            options.sources,
            key=lambda source: (source.is_same_zone, source.bytes_per_second),
        )
        found.append(best.address)
    return tuple(found)


def plan_save(parts: Sequence[PartOptions], draw: float) -> tuple[Address | None, ...]:
    """Return a store for each shared part that no store has, or ``None``.

    Stores in the same zone come first. Among these a store is chosen at random in
    proportion to its free capacity and speed: VMs that all chose the same store at the
    same time would fill it before any of them received an update. The first part of a
    prompt with several shared parts is saved to the fastest store in the zone, because
    most engines fetch it.

    Parameters
    ----------
    draw
        Random number, uniform from 0 to 1.
    """
    shared = sum(options.is_shared for options in parts)
    return tuple(
        _save_destination(options, draw, is_shared_prefix=number == 0 and shared > 1)
        for number, options in enumerate(parts)
    )


def _save_destination(
    options: PartOptions, draw: float, *, is_shared_prefix: bool
) -> Address | None:
    tokens = options.part.tokens
    if not options.is_shared or options.is_stored or tokens < MIN_PART_TOKENS:
        return None
    with_room = [
        destination
        for destination in options.destinations
        if destination.free_tokens >= tokens
    ]
    near = [destination for destination in with_room if destination.is_same_zone]
    if is_shared_prefix and near:
        return max(near, key=lambda destination: destination.bytes_per_second).address
    return _weighted_choice(near or with_room, draw)


def _weighted_choice(
    destinations: Sequence[SaveDestination], draw: float
) -> Address | None:
    weights = [
        destination.free_tokens * destination.bytes_per_second
        for destination in destinations
    ]
    left = draw * sum(weights)
    for destination, weight in zip(destinations, weights, strict=True):
        left -= weight
        if left <= 0:
            return destination.address
    return destinations[-1].address if destinations else None
