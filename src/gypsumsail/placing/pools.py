"""Divides the engines of a service into those for long and for short prompts.

All VMs divide the engines without messages: the engines of each zone have one order, by
a hash of their names, and the first of them serve the short prompts. VMs that estimate
the share a little differently disagree only about the engines at the boundary. As each
zone is divided by itself, a zone that is cut off has engines of both kinds.

The division is a preference. Short prompts may go to any engine, at a cost.
A long prompt goes to an engine for short prompts only while that has no calls, because
no stream is delayed there.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gypsumsail.core.rendezvous import rank
from gypsumsail.placing.const import MIN_ENGINES_PER_ZONE, UPDATE_SECONDS
from gypsumsail.placing.prompt_mix import Division, PromptMix, PromptWork


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
    division
        Division in force; ``None`` if prompts don't interfere.
    short_engines
        Names of the engines for short prompts.
    updated_at
        Time of the latest update.
    """

    service: str
    mix: PromptMix = field(default_factory=PromptMix)
    division: Division | None = None
    short_engines: frozenset[str] = frozenset()
    updated_at: float = float("-inf")

    def record(self, route: str, work: PromptWork, now: float) -> None:
        """Record a call that arrives."""
        self.mix.record(route, work, now)

    def is_due(self, now: float) -> bool:
        """Return whether the division is to be updated."""
        return now - self.updated_at >= UPDATE_SECONDS

    def update(self, engines: Iterable[PoolEngine], now: float) -> bool:
        """Calculate the division; return whether it begins or ends."""
        self.updated_at = now
        before = self.division
        self.division = self.mix.division(before, now)
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
        count = min(max(round(share * len(names)), 1), len(names) - 1)
        found.update(rank(key, names)[:count])
    return frozenset(found)
