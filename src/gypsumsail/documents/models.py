"""Candidates, stored documents and reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.peers.port import EntryId


class Source(StrEnum):
    """Source of a candidate."""

    WATCH = "watch"
    LIST = "list"
    PEER = "peer"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredDocument:
    """Document as stored in its object on the platform.

    Attributes
    ----------
    base
        Offset that is added to the object's version, so that versions keep
        increasing when the object is deleted and created again.
    """

    base: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A document's text that may come into force."""

    service: str
    version: int
    text: str
    source: Source


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Reason why the latest write of a service did not come into force.

    Attributes
    ----------
    version
        Version of the write; 0 if it is unknown.
    """

    service: str
    version: int
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentLag:
    """Lag of a service's document on this entry.

    Attributes
    ----------
    in_force
        Version in force; 0 if there is none.
    highest_known
        Highest version that this entry knows of.
    behind_seconds
        Seconds since a version above the one in force became known.
    unconfirmed_seconds
        Seconds since the documents were last compared with the platform, directly
        or through other entries; ``None`` before the first comparison.
    """

    service: str
    in_force: int
    highest_known: int
    behind_seconds: float
    unconfirmed_seconds: float | None


class AlarmKind(StrEnum):
    """Kind of a lag alarm."""

    LARGE = "large"
    NOT_SHRINKING = "not shrinking"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True, kw_only=True)
class LagAlarm:
    """An alarm about the lag of documents.

    Attributes
    ----------
    service
        Empty if the alarm concerns all services.
    seconds
        ``LARGE``: duration of the lag. ``NOT_SHRINKING``: time since it last shrank.
        ``UNCONFIRMED``: time since the documents were last compared with the
        platform, or 0 if they never were.
    """

    kind: AlarmKind
    service: str
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReport:
    """State of one service's document in an entry's report.

    Attributes
    ----------
    version
        Version in force; 0 if there is none.
    text_digest
        BLAKE2b digest of the text in force, in hexadecimal; empty if there is none.
    findings
        Findings of the latest rejected write; empty if there is none.
    """

    service: str
    version: int
    text_digest: str
    behind_seconds: float
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryReport:
    """Report of the documents in force on one entry."""

    entry: EntryId
    services: tuple[ServiceReport, ...]
    unconfirmed_seconds: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetReport:
    """Reports of the entries that answered.

    Attributes
    ----------
    unanswered
        Names of the expected entries that did not answer or could not be asked.
    """

    entries: tuple[EntryReport, ...]
    unanswered: tuple[str, ...]
