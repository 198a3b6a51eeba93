"""What an entry shows to operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EntryState(StrEnum):
    """Where an entry stands in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentStatus:
    """A service document on one entry.

    Attributes
    ----------
    version
        Version in force; 0 when only a faulty document is known.
    digest
        SHA-256 digest, in hexadecimal, of the text in force.
    lag_versions, lag_seconds
        How far the entry knows itself to be behind, and since when.
    findings
        Faults of a newer document that was not put in force.
    """

    service: str
    version: int
    digest: str
    owner: str
    lag_versions: int
    lag_seconds: float
    findings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """Documents in force on one entry.

    Attributes
    ----------
    peers
        Names of the other entries that this one believes alive.
    """

    entry: str
    incarnation: str
    zone: str
    documents: tuple[DocumentStatus, ...]
    peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """A target as one entry sees it."""

    target: str
    service: str
    zone: str
    state: str
    requests: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStatus:
    """One entry at a glance.

    Attributes
    ----------
    build
        Version of the program.
    requests
        Requests in flight.
    platform_age_seconds
        Seconds since the platform last answered; ``None`` when it never did.
    duties
        What the entry does for others, such as an order lease of its zone.
    alarms
        What needs an operator's attention, see docs/operations/documents.md.
    """

    entry: str
    incarnation: str
    zone: str
    build: str
    state: EntryState
    uptime_seconds: float
    requests: int
    platform_age_seconds: float | None
    peers: tuple[str, ...] = ()
    targets: tuple[TargetStatus, ...] = ()
    duties: tuple[str, ...] = ()
    alarms: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Readiness:
    """Whether the balancer should send callers here."""

    ready: bool
    reason: str = ""
