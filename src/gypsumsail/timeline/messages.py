"""Messages between entries about the archive of the time line."""

from __future__ import annotations

from dataclasses import dataclass

from gypsumsail.peers.codec import message
from gypsumsail.peers.port import Message


@message("timeline.archive")
@dataclass(frozen=True, slots=True, kw_only=True)
class ArchivePage(Message):
    """Request to write a page to the platform; ``page`` is encoded."""

    page: bytes


@message("timeline.archived")
@dataclass(frozen=True, slots=True, kw_only=True)
class ArchiveAnswer(Message):
    """Whether the page is in the platform."""

    written: bool
