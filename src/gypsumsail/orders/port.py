"""What the orders need to know from other domains."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gypsumsail.document.models import DocumentInForce
from gypsumsail.peers.port import EntryId
from gypsumsail.platform.port import VmRecord
from gypsumsail.targets.port import Engine


class DocumentSource(Protocol):
    """Source of the documents in force."""

    def in_force(self) -> tuple[DocumentInForce, ...]:
        """Return the document in force of each service."""


class MembershipSource(Protocol):
    """Source of the machines that are there."""

    def vms(self) -> tuple[VmRecord, ...]:
        """Return the platform's list as last read."""

    def live_entries(self) -> tuple[EntryId, ...]:
        """Return the entries believed alive, with this one."""


EngineFactory = Callable[[VmRecord], Engine]
