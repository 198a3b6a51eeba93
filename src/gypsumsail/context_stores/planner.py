"""Decides which parts of a prompt an engine fetches and saves, and where.

Answers the load in which callers return to long documents: a part that any engine
or store still has is moved rather than read again, and a part that none has is
saved once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.context_stores.const import MIN_PART_TOKENS
from gypsumsail.gateway.models import Address, PromptPart


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchSource:
    """An engine or a store that has a part whole.

    Attributes
    ----------
    is_same_zone
        Whether it is in the availability zone of the engine that would fetch.
    bytes_per_second
        Speed of its link.
    """

    address: Address
    is_same_zone: bool
    bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SaveDestination:
    """A store to which a part could be saved."""

    address: Address
    is_same_zone: bool
    bytes_per_second: float
    free_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PartOptions:
    """What is known of one part of a prompt.

    Attributes
    ----------
    is_shared
        Whether another prompt may have the part.
    is_stored
        Whether a store has it or is about to.
    """

    part: PromptPart
    is_shared: bool
    is_stored: bool
    sources: tuple[FetchSource, ...]
    destinations: tuple[SaveDestination, ...]


def plan_fetch(parts: Sequence[PartOptions]) -> tuple[Address | None, ...]:
    """Return a source for each part; a part after a missing one is of no use.

    An engine passes over what it has itself, so that parts it is believed to have
    are named as well.
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
    """Return a store for each shared part that none keeps.

    Near stores go first, each as often as it has room and speed: VMs that choose the
    same store at the same time fill it before any of them has heard of it. A part that
    begins prompts with several shared parts goes to the fastest one, as most engines
    fetch it.

    Parameters
    ----------
    draw
        Evenly drawn from 0 to 1.
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
