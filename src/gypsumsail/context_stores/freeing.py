"""Selects stored parts that no engine can use any more.

A managed store doesn't evict anything itself. When weights are updated again and again,
parts of old weights would fill the store and leave no room for parts of the current
weights.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gypsumsail.context_stores.const import (
    ROLLOUT_MARGIN_SECONDS,
    UNUSED_VERSION_SECONDS,
)
from gypsumsail.gateway.targets import TargetState
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.sharing.scopes import version_of

PartKey = tuple[str, str]
"""Cache scope, which contains the weight version, and name of a part of a prompt."""


@dataclass(slots=True)
class VersionUse:
    """Time at which each version of the weights was last in use.

    Attributes
    ----------
    used_at
        Time at which an engine last had a version, or at which `is_unused` was first
        called for it.
    """

    used_at: dict[int, float] = field(default_factory=dict)

    def observe(self, states: Iterable[TargetState], now: float) -> None:
        """Record the versions on all engines, including engines that are leaving."""
        for state in states:
            for version in state.weight_versions.values():
                self.used_at[version] = now

    def is_unused(self, version: int, now: float) -> bool:
        """Return whether no engine has had a version for `UNUSED_VERSION_SECONDS`.

        The first call for a version that was never observed records it as used now.
        """
        return now - self.used_at.setdefault(version, now) >= UNUSED_VERSION_SECONDS


def oldest_needed_version(
    wanted: Mapping[str, WantedWeights], rollout_seconds: float, now: float
) -> int:
    """Return the oldest version on which a call may still start; 0 if unknown.

    The result is 0 while a rollout may be in progress. For ``rollout_seconds`` after a
    version was selected, calls may still start on older weights. The fetches of these
    calls end within `ROLLOUT_MARGIN_SECONDS` after that.
    """
    if not wanted:
        return 0
    settled = rollout_seconds + ROLLOUT_MARGIN_SECONDS
    if any(now - want.first_seen_at < settled for want in wanted.values()):
        return 0
    return min(want.version for want in wanted.values())


def parts_to_free(
    held: Iterable[PartKey], oldest: int, use: VersionUse, now: float, limit: int
) -> list[PartKey]:
    """Return up to ``limit`` stored parts of versions that are no longer in use."""
    found: list[PartKey] = []
    freeable_by_scope: dict[str, bool] = {}
    for scope, part in held:
        if scope not in freeable_by_scope:
            version = version_of(scope)
            freeable_by_scope[scope] = (
                version is not None and version < oldest and use.is_unused(version, now)
            )
        if freeable_by_scope[scope]:
            found.append((scope, part))
            if len(found) == limit:
                break
    return found
