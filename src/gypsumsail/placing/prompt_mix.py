"""Finds routes whose prompts interfere on the engines of a service.

An engine prefills prompts in pieces between the decoding steps of its streams. The load
that this answers: prompts of several thousand tokens arrive beside short prompts with
a short latency goal. A short prompt then waits behind the prefills of others, and each
event of its stream takes many times as long.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp

from gypsumsail.placing.const import (
    INTERFERING_PREFILLS,
    LOAD_DECAY_SECONDS,
    MIN_LOAD,
    MIN_POOL_SHARE,
    MIN_SAMPLES,
    RELEASE_SHARE,
    SHORT_PROMPT_HEADROOM,
    SMOOTHING,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptWork:
    """Work of one call at an engine.

    Attributes
    ----------
    latency_goal
        Seconds within which the first token is on time.
    prefill_seconds
        Seconds for which the engine prefills the prompt.
    decode_share_seconds
        Seconds from the first token to the end, divided by the calls that an engine
        runs at once.
    """

    latency_goal: float
    prefill_seconds: float
    decode_share_seconds: float

    @property
    def engine_seconds(self) -> float:
        """Return the seconds for which the call occupies one engine."""
        return self.prefill_seconds + self.decode_share_seconds


@dataclass(slots=True)
class RouteWork:
    """Averages over the calls of a route.

    Attributes
    ----------
    load
        Decayed engine seconds that arrive per second, as of ``at``.
    """

    latency_goal: float = 0.0
    prefill_seconds: float = 0.0
    samples: int = 0
    load: float = 0.0
    at: float = 0.0

    def add(self, work: PromptWork, now: float) -> None:
        """Add a call that arrives at time ``now``."""
        self.samples += 1
        weight = max(1.0 / self.samples, SMOOTHING)
        self.prefill_seconds += weight * (work.prefill_seconds - self.prefill_seconds)
        self.latency_goal = work.latency_goal
        self.load = self.load_at(now) + work.engine_seconds / LOAD_DECAY_SECONDS
        self.at = now

    def load_at(self, now: float) -> float:
        """Return the load, decayed to time ``now``."""
        return self.load * exp(-max(now - self.at, 0.0) / LOAD_DECAY_SECONDS)


@dataclass(frozen=True, slots=True, kw_only=True)
class Division:
    """Division of the engines between long and short prompts.

    Attributes
    ----------
    long_routes, short_routes
        Names of the routes by the length of their prefills.
    short_share
        Share of the engines for the short prompts.
    """

    long_routes: frozenset[str]
    short_routes: frozenset[str]
    short_share: float


@dataclass(slots=True)
class PromptMix:
    """Calls of one service at this VM, by route."""

    routes: dict[str, RouteWork] = field(default_factory=dict)

    def record(self, route: str, work: PromptWork, now: float) -> None:
        """Add a call of a route."""
        self.routes.setdefault(route, RouteWork()).add(work, now)

    def division(self, current: Division | None, now: float) -> Division | None:
        """Return how to divide the engines; ``None`` if prompts don't interfere.

        Parameters
        ----------
        current
            Division in force, which ends only when the prompts interfere clearly less.
        """
        loads = {
            name: load
            for name, route in self.routes.items()
            if route.samples >= MIN_SAMPLES and (load := route.load_at(now)) >= MIN_LOAD
        }
        share = 1.0 if current is None else RELEASE_SHARE
        long_routes, short_routes = self._interfering(loads, share)
        if not long_routes:
            return None
        short_load = sum(loads[name] for name in short_routes)
        long_load = sum(loads[name] for name in long_routes)
        weighted = short_load * SHORT_PROMPT_HEADROOM
        short_share = weighted / (weighted + long_load)
        return Division(
            long_routes=frozenset(long_routes),
            short_routes=frozenset(short_routes),
            short_share=min(max(short_share, MIN_POOL_SHARE), 1.0 - MIN_POOL_SHARE),
        )

    def _interfering(
        self, loads: Mapping[str, float], share: float
    ) -> tuple[list[str], list[str]]:
        """Return the routes with long, and with short prefills.

        Both lists are empty if the prompts with the shortest latency goal are long
        themselves, or if no other prompt is so long that it endangers that goal.
        """
        if not loads:
            return [], []
        goal = min(self.routes[name].latency_goal for name in loads)
        long = [
            name
            for name in loads
            if self.routes[name].latency_goal > goal
            and self._wait_seconds(name) > goal * share
        ]
        short = [name for name in loads if name not in long]
        if not long or any(self._wait_seconds(name) > goal for name in short):
            return [], []
        return long, short

    def _wait_seconds(self, name: str) -> float:
        return self.routes[name].prefill_seconds * INTERFERING_PREFILLS
