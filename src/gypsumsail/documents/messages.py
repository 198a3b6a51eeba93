"""Messages about documents between entries."""

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
    """Compare what is in force by a digest."""

    digest: bytes


@message("documents.compared")
@dataclass(frozen=True, slots=True, kw_only=True)
class ComparedDocuments(Message):
    """Versions in force on the sender, when the digests differ.

    Attributes
    ----------
    unconfirmed_seconds
        Time since the sender's documents were compared with the platform.
    """

    in_sync: bool
    versions: tuple[ServiceVersion, ...]
    unconfirmed_seconds: float | None


@message("documents.fetch")
@dataclass(frozen=True, slots=True, kw_only=True)
class FetchDocuments(Message):
    """Ask for copies."""

    services: tuple[str, ...]


@message("documents.copies")
@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentCopies(Message):
    """Copies of documents in force on the sender."""

    copies: tuple[DocumentCopy, ...]


@message("documents.report")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportRequest(Message):
    """Ask what is in force on the receiver."""


@message("documents.reported")
@dataclass(frozen=True, slots=True, kw_only=True)
class ReportResponse(Message):
    """What is in force on the sender."""

    report: EntryReport
