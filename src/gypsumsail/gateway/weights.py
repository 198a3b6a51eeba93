"""Eligibility of engines for calls during a rollout of new weights."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from gypsumsail.gateway.const import (
    OLD_WEIGHTS_AVOID_SECONDS,
    OLD_WEIGHTS_REFUSED_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class WantedWeights:
    """Version of a model's weights that the operator wants.

    Attributes
    ----------
    first_seen_at
        Time at which this VM first learned of the version, or the earlier time since
        which it may have been named while this VM was suspended.
    """

    model: str
    version: int
    first_seen_at: float


class WeightFit(Enum):
    """Whether an engine may get a call, given the version of its weights.

    ``AVOIDED`` adds to the cost of an engine, ``REFUSED`` excludes it. Older weights
    are still ``PREFERRED`` shortly after the wanted version was first seen.
    """

    PREFERRED = auto()
    AVOIDED = auto()
    REFUSED = auto()


def weight_fit(
    wanted: WantedWeights | None, version: int, rollout_seconds: float, now: float
) -> WeightFit:
    """Return whether an engine with this version may get a new call.

    Parameters
    ----------
    rollout_seconds
        Seconds from this VM's first sight of a new version after which no call may
        start on older weights.
    """
    if wanted is None or version >= wanted.version:
        return WeightFit.PREFERRED
    age = now - wanted.first_seen_at
    if age > rollout_seconds * OLD_WEIGHTS_REFUSED_SHARE:
        return WeightFit.REFUSED
    return WeightFit.AVOIDED if age > OLD_WEIGHTS_AVOID_SECONDS else WeightFit.PREFERRED


def cache_scope(customer: str, version: int) -> str:
    """Return the scope under which cached prompt parts are looked up.

    Parameters
    ----------
    customer
        Name of a customer whose parts are isolated; empty for all others.
    """
    return f"{version}/{customer}" if customer else str(version)


def version_of(scope: str) -> int | None:
    """Return the weight version of a scope; ``None`` for a single request's scope."""
    version = scope.partition("/")[0]
    return int(version) if version.isascii() and version.isdigit() else None
