"""Lease, turns and observed engines as the decisions see them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gypsumsail.targets.port import EngineState


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """Lease of a zone as the platform keeps it.

    Attributes
    ----------
    holder
        Name and incarnation of the entry that issues orders; empty when it was
        given back.
    fence
        Fencing number; grows with each new holder.
    seconds
        Time that others wait without seeing a change before they take over.
    """

    holder: str
    fence: int
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutSlot:
    """Leave to take one engine out of service to load what is wanted.

    Attributes
    ----------
    document_version
        Version of the document whose state is being loaded.
    """

    target: str
    service: str
    zone: str
    document_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LatestOrderedVersion:
    """Newest document version of a service that any issuer acted on."""

    service: str
    document_version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutState:
    """What the issuers of all zones have under way; one platform object."""

    slots: tuple[RolloutSlot, ...] = ()
    latest_versions: tuple[LatestOrderedVersion, ...] = ()


EMPTY_ROLLOUT_STATE: Final = RolloutState()


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedEngine:
    """An engine that is not leaving, and its state as just read.

    Attributes
    ----------
    state
        ``None`` when it could not be read.
    """

    target: str
    service: str
    zone: str
    state: EngineState | None
