"""Keeps in the platform's store which parts of context stores may be fetched.

VMs that start after all others have ended can't know which saves of theirs still wait
at engines. A part that could be fetched before then can be fetched by them as well.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import cbor2

from gypsumsail.context_stores.report_exchange import ReportExchange
from gypsumsail.context_stores.store_view import PartKey, StoreView, part_hash
from gypsumsail.core import cbor
from gypsumsail.core.aligned_sleep import async_sleep_aligned
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import owner
from gypsumsail.gateway.models import Address
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.object_api.port import MUST_NOT_EXIST, ConflictError, ObjectApi

WRITE_INTERVAL_SECONDS: Final = 4.0
"""Pause between two writes of the parts of a store."""
READ_RETRY_SECONDS: Final = 1.0
"""Pause after an attempt to read that failed."""
MAX_KEPT_PARTS: Final = 60_000
"""Maximum number of parts that are kept of a store; an object has up to 1 MiB."""
HASH_BYTES: Final = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptParts:
    """Parts of one run of a store, by their hashes."""

    life: int
    hashes: frozenset[int]


def fetchable_parts(view: StoreView) -> KeptParts | None:
    """Return the parts of a store that may be fetched; ``None`` if it is unknown."""
    if view.life is None:
        return None
    hashes = [
        part_hash(key, tokens)
        for key, tokens in view.parts.items()
        if key not in view.unconfirmed
    ]
    return KeptParts(life=view.life, hashes=frozenset(hashes[-MAX_KEPT_PARTS:]))


def encode_parts(parts: KeptParts) -> bytes:
    """Encode the parts of a store."""
    hashes = (number.to_bytes(HASH_BYTES, "big") for number in sorted(parts.hashes))
    return cbor2.dumps([parts.life, b"".join(hashes)])


def decode_parts(value: bytes) -> KeptParts:
    """Decode the parts of a store; raises ``ValueInvalidError``."""
    life, data = cbor.read_list(cbor.load(value), 2)
    data = cbor.read_bytes(data)
    starts = range(0, len(data) - HASH_BYTES + 1, HASH_BYTES)
    hashes = (int.from_bytes(data[at : at + HASH_BYTES], "big") for at in starts)
    return KeptParts(life=cbor.read_unsigned(life), hashes=frozenset(hashes))


class KeptPartsCoordinator:
    """Reads the kept parts of all stores once, and writes those of some stores.

    Attributes
    ----------
    kept
        Parts by the name of the store, as they were at the start.
    written
        Parts that were last written, by the name of the store.
    versions
        Versions of the objects.
    """

    def __init__(
        self,
        kind: str,
        api: ObjectApi,
        exchange: ReportExchange,
        views: Mapping[Address, StoreView],
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.kind = kind
        self.api = api
        self.exchange = exchange
        self.views = views
        self.clock = clock
        self.log = log
        self.kept: dict[str, KeptParts] = {}
        self.written: dict[str, KeptParts] = {}
        self.versions: dict[str, int] = {}
        self.has_read = False

    async def async_run(self) -> None:
        """Read what was kept, then write what has changed, until cancelled."""
        while not self.has_read:
            try:
                await self.async_read()
            except TransportError as err:
                self.log.write("kept parts not read", reason=str(err))
                await asyncio.sleep(READ_RETRY_SECONDS)
        while True:
            await async_sleep_aligned(WRITE_INTERVAL_SECONDS)
            for view in list(self.views.values()):
                await self.async_write_if_due(view, self.clock.monotonic())

    async def async_read(self) -> None:
        """Read the parts of all stores; raises ``TransportError``."""
        listing = await self.api.async_list(self.kind)
        for found in listing.objects:
            name = found.key.partition("/")[2]
            self.versions[name] = found.version
            try:
                self.kept[name] = decode_parts(found.value or b"")
            except cbor.ValueInvalidError as err:
                self.log.write("kept parts left out", key=found.key, reason=str(err))
        self.has_read = True
        for view in self.views.values():
            self.confirm_kept(view)

    def confirm_kept(self, view: StoreView) -> None:
        """Confirm the parts of a store that could be fetched before the start."""
        kept = self.kept.get(view.store.name)
        if kept is None or kept.life != view.life:
            return
        now = self.clock.monotonic()
        self.exchange.confirm(view, self._kept_among(view, kept), now)

    @staticmethod
    def _kept_among(view: StoreView, kept: KeptParts) -> list[PartKey]:
        return [
            key
            for key in view.unconfirmed
            if part_hash(key, view.parts[key]) in kept.hashes
        ]

    async def async_write_if_due(self, view: StoreView, now: float) -> None:
        """Write the parts of a store if they changed and this VM has the duty."""
        name = view.store.name
        parts = fetchable_parts(view)
        if parts is None or parts == self.written.get(name):
            return
        if not view.is_fresh(now) or not self._is_writer(view, now):
            return
        key = f"{self.kind}/{name}"
        version = self.versions.get(name, MUST_NOT_EXIST)
        try:
            self.versions[name] = await self.api.async_put(
                key, encode_parts(parts), if_version=version
            )
            self.written[name] = parts
        except ConflictError as err:
            self.versions[name] = err.current
        except TransportError as err:
            self.log.write("kept parts not written", key=key, reason=str(err))

    def _is_writer(self, view: StoreView, now: float) -> bool:
        """Return whether this VM writes the parts of a store, of those that poll it."""
        if not self.exchange.polls_store(view.store):
            return False
        polling = self.exchange.polling_peers(view.store, now)
        vm = self.exchange.peers.vm
        return owner(f"keep {view.store.name}", [vm, *(x.vm for x in polling)]) == vm
