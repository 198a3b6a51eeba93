"""Decides which kept parts no engine can use any more.

Answers the load in which weights are renewed again and again: a managed store drops
nothing by itself, and without room the parts of the weights in force are lost.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gypsumsail.context_stores.const import (
    ROLLOUT_MARGIN_SECONDS,
    UNUSED_VERSION_SECONDS,
)
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.weights import WantedWeights, version_of

PartKey = tuple[str, str]


@dataclass(slots=True)
class VersionUse:
    """When each version of weights was last in use.

    Attributes
    ----------
    used_at
        Time at which an engine had a version last, or at which it was first asked
        for.
    """

    used_at: dict[int, float] = field(default_factory=dict)

    def observe(self, states: Iterable[TargetState], now: float) -> None:
        """Note the versions that engines have, also those that are leaving."""
        for state in states:
            for version in state.weight_versions.values():
                self.used_at[version] = now

    def is_unused(self, version: int, now: float) -> bool:
        """Return whether no engine has had a version for long."""
        return now - self.used_at.setdefault(version, now) >= UNUSED_VERSION_SECONDS


def oldest_needed_version(
    wanted: Mapping[str, WantedWeights], rollout_seconds: float, now: float
) -> int:
    """Return the oldest version on which a call may still begin; 0 when unknown.

    A named version counts once no VM that knows of it sends calls to engines with an
    older one, and fetches for earlier calls have ended.
    """
    if not wanted:
        return 0
    settled = rollout_seconds + ROLLOUT_MARGIN_SECONDS
    if any(now - want.named_at < settled for want in wanted.values()):
        return 0
    return min(want.version for want in wanted.values())


def parts_to_free(
    held: Iterable[PartKey], oldest: int, use: VersionUse, now: float, limit: int
) -> list[PartKey]:
    """Return held parts of versions that are over, at most so many."""
    found: list[PartKey] = []
    over: dict[str, bool] = {}
    for scope, part in held:
        if scope not in over:
            version = version_of(scope)
            over[scope] = (
                version is not None and version < oldest and use.is_unused(version, now)
            )
        if over[scope]:
            found.append((scope, part))
            if len(found) == limit:
                break
    return found
