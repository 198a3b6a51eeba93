"""Decides which parts of a prompt an engine fetches and saves, and where.

Answers the load in which callers return to long documents: a part that any engine
or store still has is moved rather than read again, and a part that none has is
saved once.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gypsumsail.gateway.models import Address, PromptPart
from gypsumsail.keeping.const import SMALLEST_KEPT_PART


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """An engine or a store that has a part whole.

    Attributes
    ----------
    is_near
        Whether it is in the availability zone of the engine that would fetch.
    bytes_per_second
        Speed of its link.
    """

    address: Address
    is_near: bool
    bytes_per_second: float


@dataclass(frozen=True, slots=True, kw_only=True)
class SavePlace:
    """A store to which a part could be saved."""

    address: Address
    is_near: bool
    bytes_per_second: float
    free_tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PartFacts:
    """What is known of one part of a prompt.

    Attributes
    ----------
    is_shared
        Whether another prompt may have the part.
    is_kept
        Whether a store has it or is about to.
    """

    part: PromptPart
    is_shared: bool
    is_kept: bool
    sources: tuple[Source, ...]
    places: tuple[SavePlace, ...]


def plan_fetch(parts: Sequence[PartFacts]) -> tuple[Address | None, ...]:
    """Return a source for each part; a part after a missing one is of no use.

    An engine passes over what it has itself, so that parts it is believed to have
    are named as well.
    """
    found: list[Address | None] = []
    for facts in parts:
        if not facts.sources or facts.part.tokens < SMALLEST_KEPT_PART:
            found.append(None)
            continue
        best = max(
            facts.sources, key=lambda source: (source.is_near, source.bytes_per_second)
        )
        found.append(best.address)
    return tuple(found)


def plan_save(parts: Sequence[PartFacts], draw: float) -> tuple[Address | None, ...]:
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
    shared = sum(facts.is_shared for facts in parts)
    return tuple(
        _save_place(facts, draw, is_common=number == 0 and shared > 1)
        for number, facts in enumerate(parts)
    )


def _save_place(facts: PartFacts, draw: float, *, is_common: bool) -> Address | None:
    tokens = facts.part.tokens
    if not facts.is_shared or facts.is_kept or tokens < SMALLEST_KEPT_PART:
        return None
    roomy = [place for place in facts.places if place.free_tokens >= tokens]
    near = [place for place in roomy if place.is_near]
    if is_common and near:
        return max(near, key=lambda place: place.bytes_per_second).address
    return _drawn(near or roomy, draw)


def _drawn(places: Sequence[SavePlace], draw: float) -> Address | None:
    weights = [place.free_tokens * place.bytes_per_second for place in places]
    left = draw * sum(weights)
    for place, weight in zip(places, weights, strict=True):
        left -= weight
        if left <= 0:
            return place.address
    return places[-1].address if places else None
