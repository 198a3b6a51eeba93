"""Builders of documents and fleets, and an object API with faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import random

from gypsumsail.core.errors import TransportError
from gypsumsail.core.findings import Finding
from gypsumsail.document.errors import DocumentInvalidError
from gypsumsail.document.models import (
    Deadlines,
    ServiceDocument,
    ServiceKind,
    TierPolicy,
    TierWeights,
)
from gypsumsail.documents.codec import document_key, encode_stored
from gypsumsail.documents.coordinator import DocumentsCoordinator
from gypsumsail.documents.models import StoredDocument
from gypsumsail.object_api.port import (
    ConflictError,
    Listing,
    PlatformObject,
    WatchExpiredError,
)
from gypsumsail.timeline.models import EventKind
from tests.membership.common import Fleet, Node, async_fleet
from tests.peers.virtual import ONE_WAY_LATENCY_SECONDS, LoopClock

SERVICE = "claims"


def parse(text: str, place: str) -> ServiceDocument:
    """Parse the test format of a document: ``service: note``."""
    service, colon, _ = text.partition(":")
    if not colon:
        raise DocumentInvalidError([Finding(place=place, message="no colon")])
    return ServiceDocument(
        service=service,
        kind=ServiceKind.PLAIN,
        owner="team",
        models=(),
        customers=(),
        routes=(),
        deadlines=Deadlines(default=1.0, longest=2.0),
        tiers=TierPolicy(
            weights=TierWeights(first_token=1.0, recomputed=0.0, link_use=0.0),
            link_bytes_per_second=1.0,
        ),
    )


def text(note: object, *, service: str = SERVICE) -> str:
    """Return the text of a document in the test format."""
    return f"{service}: {note}"


@dataclass(slots=True, kw_only=True)
class FakeObjectApi:
    """In-memory object API with injected faults.

    Attributes
    ----------
    lose_answers
        Share of the writes that take effect but whose response is lost.
    delay_writes
        Share of the writes that fail for the caller and may take effect later.
    log
        Each change of an object; its number is the revision.
    oldest_watchable_revision
        Watches from a lower revision raise ``WatchExpiredError``.
    silent
        Whether watches deliver no events.
    late
        Tasks of delayed writes.
    stale
        Listing that lists return instead of the stored objects while it is set.
    """

    objects: dict[str, PlatformObject] = field(default_factory=dict)
    log: list[PlatformObject] = field(default_factory=list)
    oldest_watchable_revision: int = 0
    down: bool = False
    silent: bool = False
    stale: Listing | None = None
    lose_answers: float = 0.0
    delay_writes: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    calls: int = 0
    watching: int = 0
    late: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_get(self, key: str) -> PlatformObject | None:
        await self._async_call()
        return self.objects.get(key)

    async def async_list(self, prefix: str) -> Listing:
        await self._async_call()
        found = (one for key, one in self.objects.items() if key.startswith(prefix))
        return self.stale or Listing(objects=tuple(found), revision=len(self.log))

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        await self._async_call()
        if self.rng.random() < self.delay_writes:
            late = asyncio.create_task(self._async_put_late(key, value, if_version))
            self.late.append(late)
            raise TransportError("timeout", sent=True)
        version = self.put(key, value, if_version=if_version)
        if self.rng.random() < self.lose_answers:
            raise TransportError("answer lost", sent=True)
        return version

    async def async_delete(self, key: str, *, if_version: int) -> None:
        await self._async_call()
        self.delete(key)

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        await self._async_call()
        if after_revision < self.oldest_watchable_revision:
            raise WatchExpiredError("revision expired")
        self.watching += 1
        try:
            return await self._async_wait(after_revision, wait)
        finally:
            self.watching -= 1

    def put(self, key: str, value: bytes, *, if_version: int) -> int:
        known = self.objects.get(key)
        current = 0 if known is None else known.version
        if current != if_version:
            raise ConflictError("other version", current=current)
        new = PlatformObject(key=key, version=current + 1, value=value)
        self.objects[key] = new
        self.log.append(new)
        return new.version

    def write(self, note: object, *, base: int = 0, service: str = SERVICE) -> None:
        """Write a document in the format of a stored document."""
        stored = StoredDocument(base=base, text=text(note, service=service))
        self.write_raw(encode_stored(stored), service=service)

    def write_raw(self, value: bytes, *, service: str = SERVICE) -> None:
        """Write a value that need not be in the format of a stored document."""
        known = self.objects.get(document_key(service))
        if_version = 0 if known is None else known.version
        self.put(document_key(service), value, if_version=if_version)

    def delete(self, key: str) -> None:
        known = self.objects.pop(key)
        gone = PlatformObject(key=key, version=known.version, value=None)
        self.log.append(gone)

    async def _async_call(self) -> None:
        await asyncio.sleep(ONE_WAY_LATENCY_SECONDS)
        self.calls += 1
        if self.down:
            raise TransportError("outage", sent=True)

    async def _async_put_late(self, key: str, value: bytes, if_version: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        try:
            self.put(key, value, if_version=if_version)
        except ConflictError:
            return

    async def _async_wait(self, after: int, wait: float) -> Listing:
        until = asyncio.get_running_loop().time() + wait
        for _ in range(int(wait / 0.05)):
            if self.down:
                raise TransportError("outage", sent=True)
            if len(self.log) > after and not self.silent:
                break
            if asyncio.get_running_loop().time() >= until:
                break
            await asyncio.sleep(0.05)
        if self.silent:
            return Listing(objects=(), revision=after)
        return Listing(objects=tuple(self.log[after:]), revision=len(self.log))


@dataclass(slots=True, kw_only=True)
class DocumentFleet:
    """A fleet of entries with membership and documents."""

    fleet: Fleet
    api: FakeObjectApi = field(default_factory=FakeObjectApi)
    documents: dict[str, DocumentsCoordinator] = field(default_factory=dict)

    async def async_attach(self, node: Node) -> None:
        documents = DocumentsCoordinator(
            self.api,
            node.network,
            node.membership,
            node.recorder,
            LoopClock(),
            parse=parse,
            rng=random.Random(node.entry.name),
        )
        await documents.async_setup()
        self.documents[node.entry.name] = documents

    async def async_kill(self, name: str) -> None:
        await self.documents.pop(name).async_unload()
        await self.fleet.async_kill(name)

    def versions(self) -> set[int]:
        return {one.gate.version(SERVICE) for one in self.documents.values()}

    def texts(self) -> set[str]:
        known = (one.in_force(SERVICE) for one in self.documents.values())
        return {"" if one is None else one.text for one in known}

    def assert_never_reverted(self) -> None:
        for node in self.fleet.nodes.values():
            versions = [
                event.version
                for event in node.recorder.events
                if event.kind is EventKind.DOCUMENT_IN_FORCE
            ]
            assert versions == sorted(set(versions))


async def async_documents(size: int) -> DocumentFleet:
    """Return a fleet in three zones in which one document is in force everywhere."""
    fleet = DocumentFleet(fleet=await async_fleet(size))
    for node in fleet.fleet.nodes.values():
        await fleet.async_attach(node)
    fleet.api.write("first")
    await asyncio.sleep(30.0)
    assert fleet.texts() == {text("first")}
    return fleet
