"""Status data of an entry for operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class EntryState(StrEnum):
    """Lifecycle state of an entry."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentStatus:
    """A service document on one entry.

    Attributes
    ----------
    version
        Version in force; 0 if only an invalid document is known.
    digest
        SHA-256 digest, in hexadecimal, of the text in force.
    lag_versions, lag_seconds
        Versions between the newest known one and the one in force, and seconds since
        a newer one became known.
    findings
        Errors in a newer document that was rejected.
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
        Names of the other entries that this entry considers alive.
    """

    entry: str
    incarnation: str
    zone: str
    documents: tuple[DocumentStatus, ...]
    peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetStatus:
    """A target as seen by one entry.

    Attributes
    ----------
    requests
        Requests believed to be running or waiting on an engine, according to its last
        report and the requests that entries have sent since; 0 for a plain service.
    """

    target: str
    service: str
    zone: str
    state: str
    requests: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryStatus:
    """Status summary of one entry.

    Attributes
    ----------
    build
        Version of the program.
    requests
        Number of requests in flight.
    platform_age_seconds
        Seconds since the documents were last compared with the platform, directly or
        through other entries; ``None`` before that, or if no document is known.
    duties
        Tasks that the entry performs for its zone, such as sending the engines the
        orders that set their desired state.
    alarms
        Conditions that need an operator's attention, see
        docs/operations/documents.md.
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
    """Whether the load balancer should send requests to this entry."""

    ready: bool
    reason: str = ""
