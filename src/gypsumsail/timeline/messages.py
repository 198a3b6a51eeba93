"""Messages between entries for archiving the timeline."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@message("timeline.archive")
@dataclass(frozen=True, slots=True, kw_only=True)
class ArchivePage(Message):
    """Request to write a page to the platform; ``page`` is the encoded page."""

    page: bytes


@message("timeline.archived")
@dataclass(frozen=True, slots=True, kw_only=True)
class ArchiveAnswer(Message):
    """Response that tells whether the page was written to the platform."""

    written: bool
