"""Decides which engines are ordered to load weights next."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import floor

from gypsumsail.rollout.const import (
    MAX_LOADING_SHARE,
    MAX_ROLLOUT_VMS,
    TAKEOVER_DELAY_SECONDS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """State of an engine in a rollout.

    Attributes
    ----------
    has_version
        Whether the engine has the wanted weights.
    is_loading
        Whether an order to the engine is in progress.
    is_available
        Whether the engine is reachable and its last failure is long enough ago.
    calls
        Calls in flight. Engines with the fewest calls are ordered first, because they
        become idle soonest.
    """

    target: str
    life: int
    has_version: bool
    is_loading: bool
    is_available: bool
    calls: int


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines of a model may load at once, at least one."""
    return max(floor(engines * MAX_LOADING_SHARE), 1)


def next_engines(engines: Sequence[EngineStatus]) -> list[EngineStatus]:
    """Return the engines that are ordered to load now."""
    loading = sum(engine.is_loading for engine in engines)
    free = max_concurrent_loads(len(engines)) - loading
    outdated = [
        engine
        for engine in engines
        if not engine.has_version and not engine.is_loading and engine.is_available
    ]
    outdated.sort(key=lambda engine: (engine.calls, engine.target))
    return outdated[: max(free, 0)]


def may_take_over(rank: int, waiting_seconds: float) -> bool:
    """Return whether a VM tries to take over the rollout.

    Parameters
    ----------
    rank
        Rank of the VM among those that are alive, starting at 0.
    waiting_seconds
        Time for which this VM has seen no progress in the rollout.
    """
    return rank < MAX_ROLLOUT_VMS and waiting_seconds >= rank * TAKEOVER_DELAY_SECONDS
