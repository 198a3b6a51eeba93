"""Decides which engines get an order to load weights next."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import floor

from gypsumsail.rollout.const import (
    CANDIDATE_SECONDS,
    CANDIDATES,
    LOADING_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTurn:
    """An engine as the planner sees it.

    Attributes
    ----------
    has_version
        Whether it has the wanted weights already.
    is_loading
        Whether an order to it is under way.
    may_be_asked
        Whether it can be reached and its last failure is long enough ago.
    calls
        Calls there; an engine with few is soonest free.
    """

    target: str
    life: int
    has_version: bool
    is_loading: bool
    may_be_asked: bool
    calls: int


def most_at_once(engines: int) -> int:
    """Return how many engines of a service may load at once."""
    return max(floor(engines * LOADING_SHARE), 1)


def next_turns(engines: Sequence[EngineTurn]) -> list[EngineTurn]:
    """Return the engines that get an order now."""
    loading = sum(engine.is_loading for engine in engines)
    free = most_at_once(len(engines)) - loading
    behind = [
        engine
        for engine in engines
        if not engine.has_version and not engine.is_loading and engine.may_be_asked
    ]
    behind.sort(key=lambda engine: (engine.calls, engine.target))
    return behind[: max(free, 0)]


def may_try(rank: int, waiting_seconds: float) -> bool:
    """Return whether a VM tries to take the rollout over.

    Parameters
    ----------
    rank
        Its place among the VMs that are alive, 0 first.
    waiting_seconds
        Time for which the rollout has made no progress that this VM has seen.
    """
    return rank < CANDIDATES and waiting_seconds >= rank * CANDIDATE_SECONDS
