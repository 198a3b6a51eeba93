"""Messages between entries about documents."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.documents.models import EntryReport
from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceVersion:
    """Version of a service's document in force."""

    service: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentCopy:
    """A document in force on the sender."""

    service: str
    version: int
    text: str


@message("documents.compare")
@dataclass(frozen=True, slots=True, kw_only=True)
class CompareDocuments(Message):
    """Request to compare the documents in force by a digest of their versions."""

    digest: bytes


@message("documents.compared")
@dataclass(frozen=True, slots=True, kw_only=True)
class ComparedDocuments(Message):
    """Reply with the versions in force on the sender if the digests differ.

    Attributes
    ----------
    unconfirmed_seconds
        Seconds since the sender's documents were last compared with the platform,
        directly or through other entries; ``None`` if they never were.
    """

    in_sync: bool
    versions: tuple[ServiceVersion, ...]
    unconfirmed_seconds: float | None


@message("documents.fetch")
@dataclass(frozen=True, slots=True, kw_only=True)
class FetchDocuments(Message):
    """Request for copies of documents."""

    services: tuple[str, ...]


@message("documents.copies")
@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentCopies(Message):
    """Copies of documents in force on the sender."""

    copies: tuple[DocumentCopy, ...]


@message("documents.report")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportRequest(Message):
    """Request for the report of the documents in force on the receiver."""


@message("documents.reported")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportResponse(Message):
    """Reply with the report of the documents in force on the sender."""

    report: EntryReport
