"""Interfaces that orders require from other packages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gypsumsail.document.models import DocumentInForce
from gypsumsail.object_api.port import VmRecord
from gypsumsail.peers.port import EntryId
from gypsumsail.targets.port import Engine


class DocumentSource(Protocol):
    """Source of the documents in force."""

    def all_in_force(self) -> tuple[DocumentInForce, ...]:
        """Return the document in force of each service."""


class MembershipSource(Protocol):
    """Source of the VMs that are present."""

    def targets(self, service: str) -> tuple[VmRecord, ...]:
        """Return the targets of a service that are not leaving."""

    def zone_entries(self) -> tuple[EntryId, ...]:
        """Return the entries of this entry's zone, including itself."""


# The factory is called for each use and is expected to cache its engine clients.
EngineFactory = Callable[[VmRecord], Engine]
