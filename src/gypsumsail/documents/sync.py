"""Anti-entropy exchange of documents between entries."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import hashlib

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.documents.const import (
    COMPARE_ATTEMPTS,
    COMPARE_TIMEOUT_SECONDS,
    DIGEST_BYTES,
    MAX_COPIES_BYTES,
)
from gypsumsail.documents.gate import DocumentGate
from gypsumsail.documents.lag import LagMonitor
from gypsumsail.documents.messages import (
    ComparedDocuments,
    CompareDocuments,
    DocumentCopies,
    DocumentCopy,
    FetchDocuments,
    ServiceVersion,
)
from gypsumsail.documents.models import Candidate, Source
from gypsumsail.peers.port import EntryId, PeerNetwork

Offer = Callable[[Candidate], None]


class DocumentExchange:
    """Compares versions with other entries and exchanges newer documents."""

    def __init__(
        self,
        gate: DocumentGate,
        lag: LagMonitor,
        network: PeerNetwork,
        clock: Clock,
        offer: Offer,
    ) -> None:
        self.gate = gate
        self.lag = lag
        self.network = network
        self.clock = clock
        self.offer = offer
        self._digest: bytes | None = None

    def setup(self) -> list[Callable[[], None]]:
        """Subscribe to other entries' messages; return the unsubscribe functions."""
        return [
            self.network.subscribe(CompareDocuments, self._async_handle_compare),
            self.network.subscribe(FetchDocuments, self._async_handle_fetch),
            self.network.subscribe(DocumentCopies, self._async_handle_copies),
        ]

    def invalidate_digest(self) -> None:
        """Discard the cached digest after a document came into force."""
        self._digest = None

    async def async_exchange(self, partners: tuple[EntryId, ...]) -> bool:
        """Exchange with the first partner that answers; return whether any did."""
        for partner in partners[:COMPARE_ATTEMPTS]:
            try:
                await self._async_exchange_with(partner)
            except TransportError:
                continue
            return True
        return False

    async def _async_exchange_with(self, partner: EntryId) -> None:
        asked_at = self.clock.monotonic()
        answer = await self.network.async_request(
            partner,
            CompareDocuments(digest=self._current_digest()),
            timeout=COMPARE_TIMEOUT_SECONDS,
        )
        if not isinstance(answer, ComparedDocuments):
            return
        if not answer.in_sync:
            theirs = {item.service: item.version for item in answer.versions}
            await self._async_pull_newer(partner, theirs)
            await self._async_push_newer(partner, theirs)
        if answer.unconfirmed_seconds is not None and self._has_all_versions_of(answer):
            self.lag.confirm(asked_at - answer.unconfirmed_seconds)

    async def _async_pull_newer(self, partner: EntryId, theirs: dict[str, int]) -> None:
        now = self.clock.monotonic()
        outdated = []
        for service, version in theirs.items():
            self.lag.record_known(service, version, now=now)
            if version > self.gate.version(service):
                outdated.append(service)
        if not outdated:
            return
        answer = await self.network.async_request(
            partner,
            FetchDocuments(services=tuple(outdated)),
            timeout=COMPARE_TIMEOUT_SECONDS,
        )
        if isinstance(answer, DocumentCopies):
            self._offer_all(answer)

    async def _async_push_newer(self, partner: EntryId, theirs: dict[str, int]) -> None:
        newer = [
            service
            for service in self.gate.in_force
            if self.gate.version(service) > theirs.get(service, 0)
        ]
        if newer:
            await self.network.async_send(partner, self._copies(newer))

    def _has_all_versions_of(self, answer: ComparedDocuments) -> bool:
        """Return whether every version of the partner, or a newer one, is in force."""
        return all(
            self.gate.version(item.service) >= item.version for item in answer.versions
        )

    async def _async_handle_compare(
        self, peer: EntryId, request: CompareDocuments
    ) -> ComparedDocuments:
        in_sync = request.digest == self._current_digest()
        return ComparedDocuments(
            in_sync=in_sync,
            versions=() if in_sync else self._versions(),
            unconfirmed_seconds=self.lag.unconfirmed_seconds(self.clock.monotonic()),
        )

    async def _async_handle_fetch(
        self, peer: EntryId, request: FetchDocuments
    ) -> DocumentCopies:
        return self._copies(request.services)

    async def _async_handle_copies(self, peer: EntryId, copies: DocumentCopies) -> None:
        self._offer_all(copies)

    def _offer_all(self, copies: DocumentCopies) -> None:
        for copy in copies.copies:
            self.offer(
                Candidate(
                    service=copy.service,
                    version=copy.version,
                    text=copy.text,
                    source=Source.PEER,
                )
            )

    def _copies(self, services: Iterable[str]) -> DocumentCopies:
        """Return copies up to ``MAX_COPIES_BYTES``; later rounds send the rest.

        The first copy is returned whatever its size.
        """
        copies: list[DocumentCopy] = []
        size = 0
        for service in services:
            in_force = self.gate.in_force.get(service)
            if in_force is None:
                continue
            size += len(in_force.text.encode())
            if copies and size > MAX_COPIES_BYTES:
                break
            copies.append(
                DocumentCopy(
                    service=service, version=in_force.version, text=in_force.text
                )
            )
        return DocumentCopies(copies=tuple(copies))

    def _versions(self) -> tuple[ServiceVersion, ...]:
        return tuple(
            ServiceVersion(service=service, version=in_force.version)
            for service, in_force in sorted(self.gate.in_force.items())
        )

    def _current_digest(self) -> bytes:
        if self._digest is None:
            rows = (f"{one.service}\0{one.version}\n" for one in self._versions())
            joined = "".join(rows).encode()
            self._digest = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
        return self._digest
