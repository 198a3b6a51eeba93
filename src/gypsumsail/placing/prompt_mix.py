"""Decides which prompts interfere on the engines of a service, and how to divide these.

An engine prefills prompts in pieces between the decoding steps of its streams. The load
that this answers: prompts of several thousand tokens arrive beside short prompts with
a shorter latency goal. A short prompt then waits behind the prefills of others, and
each event of its stream takes many times as long.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

from gypsumsail.placing.const import (
    DEMAND_DECAY_SECONDS,
    INTERFERING_PREFILLS,
    MIN_CALLS_PER_SECOND,
    MIN_DECODE_RATIO,
    MIN_POOL_SHARE,
    RELEASE_SHARE,
    SHORT_PROMPT_HEADROOM,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Calls of a route that arrive per second, and the prompt tokens to prefill."""

    calls_per_second: float = 0.0
    tokens_per_second: float = 0.0

    def plus(self, other: Demand) -> Demand:
        """Return the sum of both."""
        return Demand(
            calls_per_second=self.calls_per_second + other.calls_per_second,
            tokens_per_second=self.tokens_per_second + other.tokens_per_second,
        )


def demand_name(service: str, route: str) -> str:
    """Return the name under which VMs tell each other the demand of a route."""
    return f"{service}\0{route}"


@dataclass(slots=True)
class RouteDemand:
    """Decayed demand of a route at this VM, as of ``at``.

    Attributes
    ----------
    since
        Time of the first call; ``None`` before it.
    """

    calls: float = 0.0
    tokens: float = 0.0
    at: float = 0.0
    since: float | None = None

    def add(self, tokens: int, now: float) -> None:
        """Count a call that arrives at time ``now``."""
        if self.since is None:
            self.since = now
        decay = self._decay(now)
        self.calls = self.calls * decay + 1.0
        self.tokens = self.tokens * decay + tokens
        self.at = now

    def at_time(self, now: float) -> Demand:
        """Return the demand, decayed to time ``now``."""
        elapsed = max(now - (now if self.since is None else self.since), 1.0)
        # The decayed sums of a constant rate reach it only after some time.
        weight = DEMAND_DECAY_SECONDS * (1.0 - exp(-elapsed / DEMAND_DECAY_SECONDS))
        per_second = self._decay(now) / weight
        return Demand(
            calls_per_second=self.calls * per_second,
            tokens_per_second=self.tokens * per_second,
        )

    def _decay(self, now: float) -> float:
        return exp(-max(now - self.at, 0.0) / DEMAND_DECAY_SECONDS)


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutePrompts:
    """Prompts of a route, over all VMs.

    Attributes
    ----------
    latency_goal
        Seconds within which the first token is on time.
    prefill_seconds
        Seconds for which an engine prefills a prompt of average length.
    decode_share_seconds
        Seconds from the first token to the end, divided by the calls that an engine
        runs at once.
    """

    route: str
    latency_goal: float
    calls_per_second: float
    prefill_seconds: float
    decode_share_seconds: float

    @property
    def wait_seconds(self) -> float:
        """Return the seconds behind the prefills that a call may find ahead of it."""
        return self.prefill_seconds * INTERFERING_PREFILLS

    @property
    def load(self) -> float:
        """Return the number of engines that the calls occupy."""
        work = self.prefill_seconds + self.decode_share_seconds
        return self.calls_per_second * work


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


def divide(
    prompts: Sequence[RoutePrompts], engines: int, current: Division | None
) -> Division | None:
    """Return how to divide the engines; ``None`` if prompts don't interfere.

    Prompts interfere if those with the shortest latency goal are short, and others have
    a longer goal and so long prefills that a few of them take longer than that goal.

    Short prompts that occupy engines by their prefills would need so many of them that
    the long ones lack these in a burst.

    The short prompts get the engines that they occupy, but in an overload no more than
    their share of the whole load.

    Parameters
    ----------
    engines
        Number of engines that take calls.
    current
        Division in force, which ends only when the prompts interfere clearly less.
    """
    active = [item for item in prompts if item.calls_per_second >= MIN_CALLS_PER_SECOND]
    if not active or not engines:
        return None
    goal = min(item.latency_goal for item in active)
    limit = goal if current is None else goal * RELEASE_SHARE
    long = [
        item
        for item in active
        if item.latency_goal > goal and item.wait_seconds > limit
    ]
    short = [item for item in active if item not in long]
    if not long or any(item.wait_seconds > goal for item in short):
        return None
    if not _is_mostly_decoding(short):
        return None
    short_load = sum(item.load for item in short)
    all_load = short_load + sum(item.load for item in long)
    share = min(short_load * SHORT_PROMPT_HEADROOM / engines, short_load / all_load)
    return Division(
        long_routes=frozenset(item.route for item in long),
        short_routes=frozenset(item.route for item in short),
        short_share=min(max(share, MIN_POOL_SHARE), 1.0 - MIN_POOL_SHARE),
    )


def _is_mostly_decoding(prompts: Sequence[RoutePrompts]) -> bool:
    """Return whether prompts hold engines by their streams rather than by prefills."""
    decoding = sum(
        item.calls_per_second * item.decode_share_seconds for item in prompts
    )
    prefilling = sum(item.calls_per_second * item.prefill_seconds for item in prompts)
    return decoding >= prefilling * MIN_DECODE_RATIO
