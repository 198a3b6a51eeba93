"""Lease, rollout state and observed engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.targets.port import EngineState


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """Lease of a zone as stored on the platform.

    Attributes
    ----------
    holder
        Name and incarnation of the entry that issues orders; empty after the
        lease was released.
    fence
        Fencing number (fencing token). It is higher for each new holder, and after an
        engine reported a higher one. A holder whose write was not confirmed may write
        the lease again with the same number.
    seconds
        Seconds without a change of the lease after which others may acquire it.
    """

    holder: str
    fence: int
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutSlot:
    """Permission to take one engine out of service while it loads its models.

    Attributes
    ----------
    document_version
        Version of the document that the engine loads.
    """

    target: str
    service: str
    zone: str
    document_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LatestOrderedVersion:
    """Latest document version of a service for which any issuer sent orders."""

    service: str
    document_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutState:
    """Rollouts in progress in all zones; stored in one object on the platform."""

    slots: tuple[RolloutSlot, ...] = ()
    latest_versions: tuple[LatestOrderedVersion, ...] = ()


EMPTY_ROLLOUT_STATE: Final = RolloutState()


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedEngine:
    """An engine that is not leaving, and its last read state.

    Attributes
    ----------
    state
        ``None`` if it could not be read.
    """

    target: str
    service: str
    zone: str
    state: EngineState | None
