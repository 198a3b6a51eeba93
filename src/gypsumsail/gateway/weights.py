"""Eligibility of engines for calls during a rollout of new weights."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
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
    earlier
        The same times of earlier versions, by version. Weights are judged by the first
        version that replaced them, also if a later one is named in its rollout.
    """

    model: str
    version: int
    first_seen_at: float
    earlier: Mapping[int, float] = field(default_factory=dict)

    def replaced_at(self, version: int) -> float:
        """Return the time since which an older version is replaced."""
        times = (at for named, at in self.earlier.items() if named > version)
        return min(times, default=self.first_seen_at)

    def with_naming(self, version: int, named_at: float) -> WantedWeights:
        """Return these weights with an earlier time of a naming."""
        if version > self.version:
            return self
        if version == self.version:
            return replace(self, first_seen_at=min(self.first_seen_at, named_at))
        known = self.earlier.get(version, named_at)
        return replace(self, earlier={**self.earlier, version: min(known, named_at)})

    def namings(self) -> Mapping[int, float]:
        """Return the times of all namings, by version."""
        return {**self.earlier, self.version: self.first_seen_at}


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
    age = now - wanted.replaced_at(version)
    if age > rollout_seconds * OLD_WEIGHTS_REFUSED_SHARE:
        return WeightFit.REFUSED
    return WeightFit.AVOIDED if age > OLD_WEIGHTS_AVOID_SECONDS else WeightFit.PREFERRED
