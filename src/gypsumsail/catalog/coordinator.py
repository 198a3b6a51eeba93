"""Keeps documents, targets and weights of this VM up to date, from store and peers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from gypsumsail.catalog.const import MOST_SEEN_GONE, WATCH_SECONDS
from gypsumsail.catalog.copies import Copy
from gypsumsail.catalog.kind_state import Changes
from gypsumsail.catalog.kind_watch import KindWatch
from gypsumsail.catalog.store_link import StoreLink, StoreTrouble
from gypsumsail.catalog.target_list import TargetList
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.gateway.models import RoutingDocument, TargetEntry, TargetPhase
from gypsumsail.gateway.targets import TargetTable
from gypsumsail.gateway.telemetry import GatewayTelemetry
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.object_api.port import ObjectApi, PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Kinds:
    """Kinds of objects that the catalog follows.

    Attributes
    ----------
    document_key
        Key of the one routing document.
    """

    documents: str
    document_key: str
    targets: str
    weights: str

    def all(self) -> tuple[str, str, str]:
        """Return all kinds, the routing document first."""
        return (self.documents, self.targets, self.weights)


class Decoder(Protocol):
    """Decodes the platform's objects; each raises a ``GypsumsailError``."""

    def document(self, value: bytes, revision: int) -> RoutingDocument:
        """Decode a routing document."""

    def target(self, name: str, value: bytes) -> TargetEntry:
        """Decode a target's entry."""

    def weights(self, value: bytes) -> tuple[str, int]:
        """Decode a named version: the model and its version."""


class CatalogCoordinator:
    """Takes objects from the store or a peer through the same gate.

    Attributes
    ----------
    source
        Where the changes that are being taken come from: the store or a peer.
    removal_trouble, back_at
        How the store has been for who saw them there, and when it returned.
    on_document
        Called with each new routing document.
    on_target_gone
        Called when a target gets no more calls.
    seen_gone
        Names and lives of targets that calm VMs saw removed, the last ones.
    on_seen_gone
        Called when this VM saw a removal while the store was well for it.
    """

    def __init__(
        self,
        api: ObjectApi,
        kinds: Kinds,
        decoder: Decoder,
        targets: TargetTable,
        wanted: dict[str, WantedWeights],
        clock: Clock,
        telemetry: GatewayTelemetry,
        on_document: Callable[[RoutingDocument], None],
        on_target_gone: Callable[[TargetEntry], None],
        has_duty: Callable[[str], bool],
    ) -> None:
        self.kinds = kinds
        self.decoder = decoder
        self.targets = targets
        self.wanted = wanted
        self.clock = clock
        self.telemetry = telemetry
        self.on_document = on_document
        self.on_target_gone = on_target_gone
        self.document: RoutingDocument | None = None
        self.list = TargetList()
        self.links = {kind: StoreLink(clock.monotonic()) for kind in kinds.all()}
        self.watches = {
            kind: KindWatch(
                api,
                kind,
                self.links[kind],
                clock,
                self._on_changes,
                self._on_link,
                has_duty,
            )
            for kind in kinds.all()
        }
        self.source = "store"
        self.removal_trouble = StoreTrouble.NONE
        self.back_at = clock.monotonic()
        self.seen_gone: deque[tuple[str, int]] = deque(maxlen=MOST_SEEN_GONE)
        self.on_seen_gone: Callable[[TargetEntry], None] = lambda entry: None

    @property
    def knows_targets(self) -> bool:
        """Return whether the list of targets was read at least once."""
        return self.watches[self.kinds.targets].state.revision > 0

    def changed_at(self) -> Mapping[str, int]:
        """Return the revision of the newest change that is known, by kind."""
        return {kind: watch.state.changed_at for kind, watch in self.watches.items()}

    def is_watching(self, kind: str) -> bool:
        """Return whether this VM watches a kind at the store itself."""
        return self.watches[kind].is_watching

    def revision(self, kind: str) -> int:
        """Return the revision as of which the copy of a kind holds."""
        return self.watches[kind].state.revision

    def copy_since(self, kind: str, revision: int, now: float) -> Copy | None:
        """Return what a peer lacks of a kind; ``None`` when there is no copy."""
        watch = self.watches.get(kind)
        if watch is None or not watch.state.revision:
            return None
        return Copy(
            update=watch.state.update_since(revision),
            trouble=self.links[kind].trouble(now),
        )

    @callback
    def take_copy(self, kind: str, copy: Copy, peer: str) -> None:
        """Take what a peer knows beyond this VM."""
        watch = self.watches.get(kind)
        listing = copy.update.listing
        if watch is None or listing.revision <= watch.state.revision:
            return
        now = self.clock.monotonic()
        if not watch.is_watching:
            self.links[kind].heard_of(copy.trouble, now)
        state = watch.state
        take = state.replace if copy.update.is_complete else state.apply
        self.source, self.removal_trouble, self.back_at = peer, copy.trouble, now
        try:
            self._changed(kind, take(listing))
        finally:
            self.source = "store"

    def tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return what has to run, one for each kind."""
        return [watch.async_run for watch in self.watches.values()]

    @callback
    def tick(self, now: float) -> None:
        """Drop targets that were not listed again after an outage."""
        link = self.links[self.kinds.targets]
        for name in self.list.gone(link, now):
            self._target_gone(name, "not listed again after the store's return")

    def _on_changes(self, kind: str, changes: Changes) -> None:
        """Take changes that this VM saw at the store."""
        now = self.clock.monotonic()
        link = self.links[kind]
        self.removal_trouble = link.trouble(now)
        self.back_at = link.back_at if link.back_at is not None else now
        self._changed(kind, changes)

    def _changed(self, kind: str, changes: Changes) -> None:
        if kind == self.kinds.documents:
            self._documents_changed(changes)
        elif kind == self.kinds.targets:
            self._targets_changed(changes)
        else:
            self._weights_changed(changes)

    def _documents_changed(self, changes: Changes) -> None:
        for found in changes.written:
            if found.key != self.kinds.document_key or found.value is None:
                continue
            try:
                document = self.decoder.document(found.value, found.version)
            except GypsumsailError as err:
                self._invalid(found, err)
                continue
            self._put_in_force(document)

    def _put_in_force(self, document: RoutingDocument) -> None:
        if self.document is not None and document.revision <= self.document.revision:
            return
        self.document = document
        self.telemetry.document_in_force(document, self.source)
        self.on_document(document)

    def _targets_changed(self, changes: Changes) -> None:
        now = self.clock.monotonic()
        for found in changes.written:
            name = found.key.partition("/")[2]
            try:
                entry = self.decoder.target(name, found.value or b"")
            except GypsumsailError as err:
                self._invalid(found, err)
                if name in self.targets.states:
                    self._removed(name, now)
                continue
            self._listed(entry, now)
        for key in changes.removed:
            self._removed(key.partition("/")[2], now)

    def _listed(self, entry: TargetEntry, now: float) -> None:
        self.list.listed(entry.name)
        before = self.targets.states.get(entry.name)
        if before is not None and before.entry.life > entry.life:
            return
        if self.targets.update(entry, now):
            self.telemetry.target_listed(entry)
        after = self.targets.states[entry.name]
        if before is not None and before is not after:
            self.on_target_gone(before.entry)
        after.is_leaving = entry.phase is TargetPhase.LEAVING

    def _removed(self, name: str, now: float) -> None:
        state = self.targets.states.get(name)
        if not self.list.removed(name, self.removal_trouble, self.back_at, now):
            if state is not None and (name, state.entry.life) in self.seen_gone:
                self.seen_gone_by_peer(name, state.entry.life)
            return
        self._target_gone(name, "removed from the list")
        if state is not None and self.source == "store":
            self.on_seen_gone(state.entry)

    @callback
    def seen_gone_by_peer(self, name: str, life: int) -> None:
        """Drop a lapsed target whose removal a calm VM saw at the store.

        The word may come before this VM sees the removal itself.
        """
        self.seen_gone.append((name, life))
        state = self.targets.states.get(name)
        if name not in self.list.lapsed or state is None or state.entry.life != life:
            return
        self.list.listed(name)
        self._target_gone(name, "a VM that the store serves saw it removed")

    def _target_gone(self, name: str, reason: str) -> None:
        state = self.targets.states.get(name)
        if state is None:
            return
        self.targets.remove(name)
        self.telemetry.target_gone(state, reason)
        self.on_target_gone(state.entry)

    def _weights_changed(self, changes: Changes) -> None:
        for found in changes.written:
            try:
                model, version = self.decoder.weights(found.value or b"")
            except GypsumsailError as err:
                self._invalid(found, err)
                continue
            known = self.wanted.get(model)
            if known is not None and known.version >= version:
                continue
            now = self.clock.monotonic()
            want = WantedWeights(model=model, version=version, first_seen_at=now)
            self.wanted[model] = want
            self.telemetry.log.write(
                "weights named", model=model, version=version, source=self.source
            )

    def _invalid(self, found: PlatformObject, err: GypsumsailError) -> None:
        self.telemetry.log.write(
            "object left out", key=found.key, revision=found.version, reason=str(err)
        )

    def _on_link(self, is_up: bool, reason: str) -> None:
        event = "store regained" if is_up else "store lost"
        self.telemetry.log.write(event, reason=reason, watch_seconds=WATCH_SECONDS)
