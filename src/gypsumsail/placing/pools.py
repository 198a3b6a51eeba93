"""Divides the engines of a service into those for long and for short prompts.

The VMs agree by one order of the engines of each zone, by a hash of their names: the
first of them serve the short prompts. The demand by route, from which the share of the
engines follows, is told with the loads that the VMs exchange. VMs that estimate the
share a little differently disagree only about the engines at the boundary. As each zone
is divided by itself, a zone that is cut off has engines of both kinds.

The division is a preference. Short prompts may go to any engine, at a cost. A long
prompt goes to an engine for short prompts only while that has no calls, because no
stream is delayed there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import ceil

from gypsumsail.core.rendezvous import rank
from gypsumsail.placing.const import (
    MAX_ROUTES,
    MIN_CALLS_PER_SECOND,
    MIN_ENGINES_PER_ZONE,
    UPDATE_SECONDS,
)
from gypsumsail.placing.prompt_mix import (
    Demand,
    Division,
    RouteDemand,
    RoutePrompts,
    divide,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolEngine:
    """An engine that takes calls."""

    name: str
    zone: str


@dataclass(slots=True)
class EnginePools:
    """Division of the engines of one service, as this VM sees it.

    Attributes
    ----------
    demand
        Demand at this VM, by route.
    goals
        Latency goal of these routes, in seconds.
    division
        Division in force; ``None`` if prompts don't interfere.
    short_engines
        Names of the engines for short prompts.
    updated_at
        Time of the latest update.
    """

    service: str
    demand: dict[str, RouteDemand] = field(default_factory=dict)
    goals: dict[str, float] = field(default_factory=dict)
    division: Division | None = None
    short_engines: frozenset[str] = frozenset()
    updated_at: float = float("-inf")

    def record(self, route: str, latency_goal: float, tokens: int, now: float) -> None:
        """Record a call with the prompt tokens that an engine has to prefill."""
        found = self.demand.pop(route, None) or RouteDemand()
        if len(self.demand) >= MAX_ROUTES:
            forgotten = next(iter(self.demand))
            del self.demand[forgotten], self.goals[forgotten]
        self.demand[route] = found
        self.goals[route] = latency_goal
        found.add(tokens, now)

    def own_demand(self, now: float) -> Mapping[str, Demand]:
        """Return the demand at this VM by route.

        It is empty while all routes have one goal: their prompts don't interfere then,
        and the other VMs need not know it.
        """
        if len(set(self.goals.values())) <= 1:
            return {}
        return {route: found.at_time(now) for route, found in self.demand.items()}

    def is_due(self, now: float) -> bool:
        """Return whether the division is to be updated."""
        return now - self.updated_at >= UPDATE_SECONDS

    def update(
        self,
        prompts: Sequence[RoutePrompts],
        engines: Sequence[PoolEngine],
        now: float,
    ) -> bool:
        """Calculate the division; return whether it begins or ends."""
        self.updated_at = now
        before = self.division
        self.division = divide(prompts, len(engines), before)
        if self.division is None:
            self.short_engines = frozenset()
        else:
            self.short_engines = short_engines(
                engines, self.division.short_share, self.service
            )
        return (before is None) != (self.division is None)

    def is_long(self, route: str) -> bool:
        """Return whether the prompts of a route are long."""
        return self.division is not None and route in self.division.long_routes

    def is_short(self, route: str) -> bool:
        """Return whether the prompts of a route are short."""
        return self.division is not None and route in self.division.short_routes


def route_prompts(
    route: str,
    latency_goal: float,
    demand: Demand,
    prefill_rate: float,
    decode_share_seconds: float,
) -> RoutePrompts | None:
    """Return the prompts of a route, or ``None`` if it has no calls.

    Parameters
    ----------
    demand
        Demand at all VMs.
    prefill_rate
        Tokens that an engine prefills per second.
    """
    if demand.calls_per_second < MIN_CALLS_PER_SECOND:
        return None
    tokens = demand.tokens_per_second / demand.calls_per_second
    return RoutePrompts(
        route=route,
        latency_goal=latency_goal,
        calls_per_second=demand.calls_per_second,
        prefill_seconds=tokens / prefill_rate,
        decode_share_seconds=decode_share_seconds,
    )


def short_engines(
    engines: Iterable[PoolEngine], share: float, key: str
) -> frozenset[str]:
    """Return the engines for short prompts: a share of those of each zone."""
    by_zone: dict[str, list[str]] = {}
    for engine in engines:
        by_zone.setdefault(engine.zone, []).append(engine.name)
    found: set[str] = set()
    for names in by_zone.values():
        if len(names) < MIN_ENGINES_PER_ZONE:
            continue
        count = min(max(ceil(share * len(names)), 1), len(names) - 1)
        found.update(rank(key, names)[:count])
    return frozenset(found)
