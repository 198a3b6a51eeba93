"""Which engines may take a call while new weights are rolled out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from gypsumsail.gateway.const import (
    OLD_WEIGHTS_AVOID_SECONDS,
    OLD_WEIGHTS_REFUSED_SHARE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class WantedWeights:
    """Version of a model's weights that the operator named.

    Attributes
    ----------
    first_seen_at
        Time at which this VM first knew of it.
    """

    model: str
    version: int
    first_seen_at: float


class WeightFit(Enum):
    """How an engine's weights fit what is wanted."""

    CURRENT = auto()
    OLD = auto()
    REFUSED = auto()


def weight_fit(
    wanted: WantedWeights | None, version: int, rollout_seconds: float, now: float
) -> WeightFit:
    """Return whether an engine with a version may take a new call."""
    if wanted is None or version >= wanted.version:
        return WeightFit.CURRENT
    age = now - wanted.first_seen_at
    if age > rollout_seconds * OLD_WEIGHTS_REFUSED_SHARE:
        return WeightFit.REFUSED
    return WeightFit.OLD if age > OLD_WEIGHTS_AVOID_SECONDS else WeightFit.CURRENT


def cache_scope(customer: str, version: int) -> str:
    """Return the text under which cached parts are found.

    Parameters
    ----------
    customer
        Name of a customer that shares no parts; empty for all others.
    """
    return f"{version}/{customer}" if customer else str(version)


def version_of(scope: str) -> int | None:
    """Return the version of a text of ``cache_scope``; ``None`` for another text."""
    version = scope.partition("/")[0]
    return int(version) if version.isascii() and version.isdigit() else None
