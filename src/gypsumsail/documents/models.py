"""Documents on their way into force, and what is reported about them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gypsumsail.peers.port import EntryId


class Source(StrEnum):
    """Where a candidate came from."""

    WATCH = "watch"
    LIST = "list"
    PEER = "peer"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredDocument:
    """Value of a document's object on the platform.

    Attributes
    ----------
    base
        What is added to the object's version, so that the order goes on when the
        object is deleted and made again.
    """

    base: int
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A text that may come into force."""

    service: str
    version: int
    text: str
    source: Source


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Why the newest write of a service did not come into force.

    Attributes
    ----------
    version
        Version of the write; 0 when it could not be told.
    """

    service: str
    version: int
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentLag:
    """How far a service's document is behind on this entry.

    Attributes
    ----------
    in_force
        Version in force here; 0 when there is none.
    known
        Highest version that this entry has heard of.
    behind_seconds
        Time since a version above the one in force was first heard of.
    unconfirmed_seconds
        Time since the documents were last compared with the platform, directly or
        through other entries; ``None`` before the first time.
    """

    service: str
    in_force: int
    known: int
    behind_seconds: float
    unconfirmed_seconds: float | None


class AlarmKind(StrEnum):
    """Why a lag needs attention."""

    LARGE = "large"
    NOT_SHRINKING = "not shrinking"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True, kw_only=True)
class LagAlarm:
    """An alarm about a service; the service is empty when it concerns all."""

    kind: AlarmKind
    service: str
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceInForce:
    """One service on one entry, as it is read back.

    Attributes
    ----------
    text_digest
        BLAKE2b digest of the text, in hexadecimal.
    """

    service: str
    version: int
    text_digest: str
    behind_seconds: float
    findings: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryReport:
    """What is in force on one entry."""

    entry: EntryId
    services: tuple[ServiceInForce, ...]
    unconfirmed_seconds: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadBack:
    """What is in force everywhere.

    Attributes
    ----------
    not_asked
        Names of the entries that should be there and did not answer.
    """

    entries: tuple[EntryReport, ...]
    unanswered: tuple[str, ...]
