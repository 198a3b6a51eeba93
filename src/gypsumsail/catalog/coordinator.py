"""Keeps the copies of the store up to date from the store and from peers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass, replace
from math import isfinite
from typing import Any, Protocol

from gypsumsail.catalog.const import (
    MAX_CONFIRMED_REMOVALS,
    MAX_LEFT_OUT_REASONS,
    USUAL_TICK_SECONDS,
    WATCH_SECONDS,
)
from gypsumsail.catalog.freshness import ChangeBounds, ChangeDelay, CopyConfirmation
from gypsumsail.catalog.kind_state import Changes
from gypsumsail.catalog.kind_watch import KindWatch
from gypsumsail.catalog.naming_time import NamingTime
from gypsumsail.catalog.peer_updates import PeerUpdate
from gypsumsail.catalog.pending_removals import PendingRemovals
from gypsumsail.catalog.restored_targets import RestoredTargets
from gypsumsail.catalog.store_health import StoreHealth, StoreOutage
from gypsumsail.core.callback import callback
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.core.units import MILLISECONDS_PER_SECOND
from gypsumsail.evacuations.state import Evacuations
from gypsumsail.evacuations.suspension import SuspensionHold
from gypsumsail.evacuations.updates import EvacuationUpdates
from gypsumsail.gateway.models import RoutingDocument, TargetEntry, TargetPhase
from gypsumsail.gateway.target_table import TargetTable
from gypsumsail.gateway.telemetry import GatewayTelemetry
from gypsumsail.gateway.weights import WantedWeights
from gypsumsail.object_api.eras import era_of
from gypsumsail.object_api.port import ObjectApi, PlatformObject


@dataclass(frozen=True, slots=True, kw_only=True)
class Kinds:
    """Object kinds that the catalog follows.

    Attributes
    ----------
    document_key
        Key of the routing document within its kind.
    evacuations
        Kind of the evacuated zones; empty where the deployment has none.
    """

    documents: str
    document_key: str
    targets: str
    weights: str
    evacuations: str = ""

    def all(self) -> tuple[str, ...]:
        """Return all kinds, starting with that of the routing document.

        Evacuations come last: gossip tells earlier builds of the first three kinds.
        """
        followed = (self.documents, self.targets, self.weights)
        return (*followed, self.evacuations) if self.evacuations else followed


class Decoder(Protocol):
    """Decodes the platform's objects.

    Each method raises a ``GypsumsailError`` for an invalid object.
    """

    def document(self, value: bytes, revision: int) -> RoutingDocument:
        """Decode a routing document."""

    def isolated_customers(self, value: bytes) -> frozenset[str]:
        """Return the customers that an invalid document isolates.

        It raises nothing; customers that can't be read are left out.
        """

    def target(self, name: str, value: bytes) -> TargetEntry:
        """Decode the record of a target."""

    def weights(self, value: bytes) -> tuple[str, int]:
        """Decode a weight version; return the model and its version."""

    def check_evacuation(self, value: bytes) -> None:
        """Check the object of an evacuated zone, which says no more than its name."""


class CatalogCoordinator:
    """Applies object changes from the store and from peers by the same rules.

    Attributes
    ----------
    source
        Origin of the changes that are being applied: ``store`` or a peer's name.
    source_outage, recovered_at
        Outage state of the store at that origin, and when the store recovered; for
        changes from a peer, the time at which they arrived.
    on_document
        Called with each new routing document.
    on_target_removed
        Called when a target is removed or replaced by a newer incarnation.
    confirmed_removals
        Names and incarnations of the latest targets whose removal was seen by a VM
        without an outage.
    objects_left_out
        Number of invalid objects.
    left_out_reasons
        Reason that was last logged for an invalid object, by its key.
    on_document_rejected
        Called with the customers that a document isolates which can't be applied.
    on_removal_seen
        Called when this VM sees a removal while the store has no outage for it.
    on_target_read
        Called with each record of a target, also if the target is gone by then.
    restored_targets
        Removed targets that are listed again because the store was restored.
    evacuations
        Evacuated zones; none where the deployment has no evacuations.
    confirmations
        Readings of the evacuated zones that a suspension has caused.
    """

    def __init__(
        self,
        api: ObjectApi,
        kinds: Kinds,
        decoder: Decoder,
        targets: TargetTable,
        wanted_weights: dict[str, WantedWeights],
        clock: Clock,
        telemetry: GatewayTelemetry,
        on_document: Callable[[RoutingDocument], None],
        on_target_removed: Callable[[TargetEntry], None],
        is_watcher: Callable[[str], bool],
        bounds: ChangeBounds,
    ) -> None:
        self.kinds = kinds
        self.decoder = decoder
        self.targets = targets
        self.wanted_weights = wanted_weights
        self.clock = clock
        self.telemetry = telemetry
        self.on_document = on_document
        self.on_target_removed = on_target_removed
        self.document: RoutingDocument | None = None
        self.pending_removals = PendingRemovals()
        self.restored_targets = RestoredTargets()
        self.naming_time = NamingTime()
        self.evacuations = Evacuations()
        self.evacuation_updates = EvacuationUpdates(
            self.evacuations, decoder.check_evacuation, telemetry.log
        )
        self.suspension_hold = SuspensionHold()
        self.confirmations: set[asyncio.Task[bool]] = set()
        self.store_health = {
            kind: StoreHealth(clock.monotonic()) for kind in kinds.all()
        }
        self.watches = {
            kind: KindWatch(
                api,
                kind,
                self.store_health[kind],
                clock,
                self._on_changes,
                self._on_availability,
                is_watcher,
                bound,
            )
            for kind, bound in self._bounds_by_kind(bounds).items()
        }
        for watch in self.watches.values():
            watch.on_reading = self._on_reading
        self.source = "store"
        self.source_outage = StoreOutage.NONE
        self.recovered_at = clock.monotonic()
        self.objects_left_out = 0
        self.left_out_reasons: dict[str, str] = {}
        self.confirmed_removals: deque[tuple[str, int]] = deque(
            maxlen=MAX_CONFIRMED_REMOVALS
        )
        self.on_document_rejected: Callable[[frozenset[str]], None] = lambda isolated: (
            None
        )
        self.on_removal_seen: Callable[[TargetEntry], None] = lambda entry: None
        self.on_target_read: Callable[[TargetEntry], None] = lambda entry: None

    def _bounds_by_kind(self, bounds: ChangeBounds) -> dict[str, float]:
        by_kind = {
            self.kinds.documents: bounds.document,
            self.kinds.targets: bounds.leaving,
            self.kinds.weights: bounds.weights,
        }
        if self.kinds.evacuations:
            by_kind[self.kinds.evacuations] = bounds.evacuation_in_force
        return by_kind

    @callback
    def set_bounds(self, bounds: ChangeBounds) -> None:
        """Apply other bounds on the time in which changes must be in force.

        Without a bound on evacuations the earlier one stays: which kinds are followed
        is decided at the start.
        """
        for kind, bound in self._bounds_by_kind(bounds).items():
            if kind != self.kinds.evacuations or bound:
                self.watches[kind].bound = bound

    @callback
    def set_relied_on(self, is_relied_on: Callable[[str], bool]) -> None:
        """Set what returns whether other VMs depend on what this one reads."""
        for watch in self.watches.values():
            watch.is_relied_on = is_relied_on

    @property
    def knows_targets(self) -> bool:
        """Return whether the targets were listed at least once."""
        return self.watches[self.kinds.targets].state.revision > 0

    @property
    def knows_evacuations(self) -> bool:
        """Return whether the evacuated zones were listed, or there can be none."""
        kind = self.kinds.evacuations
        return not kind or self.watches[kind].state.revision > 0

    def allows_calls(self, now: float) -> bool:
        """Return whether this VM may place calls, as to evacuated zones."""
        kind = self.kinds.evacuations
        if not kind:
            return True
        is_held = self.suspension_hold.is_held(self.watches[kind].read_at, now)
        return not is_held and self.knows_evacuations

    def is_document_confirmed(self, now: float) -> bool:
        """Return whether the copy of the document was confirmed since a suspension.

        Documents may have come into force while this VM was suspended.
        """
        is_confirmed = isfinite(self.copy_age(self.kinds.documents, now))
        return is_confirmed and not self.naming_time.is_in_gap(now)

    def is_target_list_current(self, now: float) -> bool:
        """Return whether the targets are listed and the store had no recent outage."""
        health = self.store_health[self.kinds.targets]
        return self.knows_targets and health.outage(now) is StoreOutage.NONE

    async def async_confirm_targets(self) -> bool:
        """Return whether the list of targets is known to be complete as of now."""
        if not self.is_target_list_current(self.clock.monotonic()):
            return False
        return await self.watches[self.kinds.targets].async_confirm()

    def last_changed_revisions(self) -> Mapping[str, int]:
        """Return the revision of the newest known change, by kind.

        A copy of the evacuations without a change counts as revision 1, so that a VM
        without any copy takes it.
        """
        found = {
            kind: watch.state.last_changed_revision
            for kind, watch in self.watches.items()
        }
        if self.kinds.evacuations and self.knows_evacuations:
            kind = self.kinds.evacuations
            found[kind] = max(found[kind], 1)
        return found

    def bound(self, kinds: Iterable[str]) -> float:
        """Return the seconds in which changes of all given kinds must be in force."""
        return min(self.watches[kind].bound for kind in kinds)

    def reads_store(self, kind: str) -> bool:
        """Return whether this VM reads a kind from the store instead of its peers."""
        return self.watches[kind].reads_store

    def own_readings(self, now: float) -> list[CopyConfirmation]:
        """Return what this VM itself has last read, if others rely on it."""
        return [
            CopyConfirmation(
                kind=kind,
                changed_revision=watch.state.last_changed_revision,
                age=now - watch.read_at,
            )
            for kind, watch in self.watches.items()
            if isfinite(watch.read_at) and watch.is_relied_on(kind)
        ]

    @callback
    def confirm(self, confirmation: CopyConfirmation, now: float) -> bool:
        """Apply what another VM has read; return whether that VM is not ahead.

        The message may have waited for the event loop since the tick before.
        """
        watch = self.watches.get(confirmation.kind)
        ticked_at = self.naming_time.ticked_at
        arrived_at = now
        if ticked_at is not None:
            arrived_at = min(now, ticked_at + USUAL_TICK_SECONDS)
        return watch is None or watch.confirm(
            confirmation.changed_revision, arrived_at - confirmation.age
        )

    @callback
    def note_behind(self, kind: str, now: float) -> None:
        """Record that another VM tells of a change of a kind that this VM lacks."""
        self.watches[kind].note_behind(now)

    def copy_age(self, kind: str, now: float) -> float:
        """Return the seconds since the store is known to have confirmed the copy.

        It is infinite before the first answer.
        """
        return self.watches[kind].age(now)

    def revision(self, kind: str) -> int:
        """Return the store revision that the copy of a kind reflects."""
        return self.watches[kind].state.revision

    def peer_update_since(
        self, kind: str, revision: int, now: float
    ) -> PeerUpdate | None:
        """Return the changes that a peer lacks; ``None`` when there is no copy."""
        watch = self.watches.get(kind)
        if watch is None or not watch.state.revision:
            return None
        return PeerUpdate(
            update=watch.state.update_since(revision),
            outage=self.store_health[kind].outage(now),
        )

    @callback
    def apply_peer_update(self, kind: str, peer_update: PeerUpdate, peer: str) -> None:
        """Apply the changes of a peer unless this VM already has them."""
        watch = self.watches.get(kind)
        listing = peer_update.update.listing
        if watch is None or listing.revision <= watch.state.revision:
            return
        now = self.clock.monotonic()
        if not watch.reads_store:
            self.store_health[kind].update_from_peer(peer_update.outage, now)
        state = watch.state
        apply = state.replace if peer_update.update.is_complete else state.apply
        self.source, self.source_outage, self.recovered_at = (
            peer,
            peer_update.outage,
            now,
        )
        try:
            self._apply_changes(kind, apply(listing))
        finally:
            self.source = "store"

    def tasks(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        """Return the background tasks, one for each kind."""
        return [watch.async_run for watch in self.watches.values()]

    @callback
    def tick(self, now: float) -> None:
        """Remove targets that were not listed again after an outage."""
        if self.naming_time.tick(now):
            # Datagrams that waited for the end of a suspension seem new.
            for watch in self.watches.values():
                watch.doubt()
            self._confirm_evacuations()
        health = self.store_health[self.kinds.targets]
        for name in self.pending_removals.pop_expired(health, now):
            self._remove_target(name, "not listed again after the store recovered")
        for entry in self.restored_targets.pop_confirmed(now):
            self._add_target(entry, now)
        if self.kinds.evacuations:
            watch = self.watches[self.kinds.evacuations]
            self.suspension_hold.is_held(watch.read_at, now)
            self.evacuation_updates.tick(watch.confirmed_at, now)

    def _confirm_evacuations(self) -> None:
        """Read the evacuated zones at once, as calls wait for it."""
        if not self.kinds.evacuations:
            return
        watch = self.watches[self.kinds.evacuations]
        task = asyncio.get_running_loop().create_task(watch.async_confirm())
        self.confirmations.add(task)
        task.add_done_callback(self.confirmations.discard)

    def _on_changes(self, kind: str, changes: Changes) -> None:
        """Apply changes that this VM received from the store."""
        now = self.clock.monotonic()
        health = self.store_health[kind]
        self.source_outage = health.outage(now)
        self.recovered_at = (
            health.recovered_at if health.recovered_at is not None else now
        )
        self._apply_changes(kind, changes)

    def _apply_changes(self, kind: str, changes: Changes) -> None:
        if kind == self.kinds.documents:
            self._apply_documents(changes)
        elif kind == self.kinds.targets:
            self._apply_targets(changes)
        elif kind == self.kinds.evacuations:
            confirmed_at = self.watches[kind].confirmed_at
            now = self.clock.monotonic()
            self.evacuation_updates.apply(changes, self.source, confirmed_at, now)
        else:
            self._apply_weights(changes)

    def _apply_documents(self, changes: Changes) -> None:
        delay = self.watches[self.kinds.documents].take_delay(
            was_read=self.source == "store", now=self.clock.monotonic()
        )
        # Decoding takes time that matters when changes come in quick succession, so
        # earlier ones are decoded only if the later ones are invalid.
        rejected: set[str] = set()
        for obj in reversed(changes.objects):
            if obj.key != self.kinds.document_key or obj.value is None:
                continue
            try:
                document = self.decoder.document(obj.value, obj.version)
            except GypsumsailError as err:
                self._log_invalid_object(obj, err)
                rejected |= self.decoder.isolated_customers(obj.value)
                continue
            self._activate_document(document, delay)
            break
        if rejected:
            self.on_document_rejected(frozenset(rejected))

    def _activate_document(self, document: RoutingDocument, delay: ChangeDelay) -> None:
        if self.document is not None and not supersedes(document, self.document):
            return
        self.document = document
        self.telemetry.document_in_force(
            document, self.source, delay.at_most, delay.at_least
        )
        self.on_document(document)

    def _apply_targets(self, changes: Changes) -> None:
        now = self.clock.monotonic()
        for obj in changes.objects:
            name = obj.key.partition("/")[2]
            if obj.value is None:
                self._handle_removal(name, now)
                continue
            try:
                entry = self.decoder.target(name, obj.value)
            except GypsumsailError as err:
                self._log_invalid_object(obj, err)
                if name in self.targets.states:
                    self._handle_removal(name, now)
                continue
            self.on_target_read(entry)
            if not changes.is_restored:
                self._add_target(entry, now)
            elif not self.restored_targets.hold_back(entry, now):
                self._add_target(self._with_known_phase(entry), now)

    def _with_known_phase(self, entry: TargetEntry) -> TargetEntry:
        """Return the entry, leaving if its target is known to leave.

        The record that said so may be lost.
        """
        state = self.targets.states.get(entry.name)
        if state is None or state.entry.life != entry.life or not state.is_leaving:
            return entry
        return replace(entry, phase=TargetPhase.LEAVING)

    def _add_target(self, entry: TargetEntry, now: float) -> None:
        self.pending_removals.cancel(entry.name)
        self.restored_targets.cancel(entry.name)
        # They concern an earlier entry of the target.
        while (entry.name, entry.life) in self.confirmed_removals:
            self.confirmed_removals.remove((entry.name, entry.life))
        before = self.targets.states.get(entry.name)
        if before is not None and before.entry.life > entry.life:
            return
        if self.targets.update(entry, now):
            self.telemetry.target_listed(entry)
        after = self.targets.states[entry.name]
        if before is not None and before is not after:
            self.on_target_removed(before.entry)
        after.is_listed_leaving = entry.phase is TargetPhase.LEAVING

    def _handle_removal(self, name: str, now: float) -> None:
        self.restored_targets.cancel(name)
        state = self.targets.states.get(name)
        if not self.pending_removals.record_removal(
            name, self.source_outage, self.recovered_at, now
        ):
            if (
                state is not None
                and (name, state.entry.life) in self.confirmed_removals
            ):
                self.confirm_removal(name, state.entry.life)
            return
        self._remove_target(name, "removed from the list")
        if state is not None and self.source == "store":
            self.on_removal_seen(state.entry)

    @callback
    def confirm_removal(self, name: str, life: int) -> None:
        """Complete a pending removal that a VM without an outage saw at the store.

        ``life`` is the incarnation of the target. The confirmation may arrive before
        this VM sees the removal itself.
        """
        self.confirmed_removals.append((name, life))
        state = self.targets.states.get(name)
        if (
            name not in self.pending_removals.deadlines
            or state is None
            or state.entry.life != life
        ):
            return
        self.pending_removals.cancel(name)
        self._remove_target(name, "removal confirmed by a VM without an outage")

    def _remove_target(self, name: str, reason: str) -> None:
        state = self.targets.states.get(name)
        if state is None:
            return
        self.targets.remove(name)
        self.restored_targets.record_removal(state.entry)
        self.telemetry.target_gone(state, reason)
        self.on_target_removed(state.entry)

    def _apply_weights(self, changes: Changes) -> None:
        for obj in changes.objects:
            if obj.value is None:
                continue
            try:
                model, version = self.decoder.weights(obj.value)
            except GypsumsailError as err:
                self._log_invalid_object(obj, err)
                continue
            known = self.wanted_weights.get(model)
            if known is not None and known.version >= version:
                continue
            now = self.clock.monotonic()
            named_at = self.naming_time.earliest(model, version, now)
            weights = WantedWeights(
                model=model,
                version=version,
                first_seen_at=named_at,
                earlier={
                    **self.naming_time.told_before(model, version),
                    **(known.namings() if known is not None else {}),
                },
            )
            self.wanted_weights[model] = weights
            self.telemetry.log.write(
                "weights named",
                model=model,
                version=version,
                source=self.source,
                age_ms=round((now - named_at) * 1000),
            )

    @callback
    def handle_naming_told(self, model: str, version: int, named_at: float) -> None:
        """Apply the time of a naming that another VM tells after this one's start."""
        self.naming_time.record_told(model, version, named_at)
        known = self.wanted_weights.get(model)
        if known is not None:
            self.wanted_weights[model] = known.with_naming(version, named_at)

    def _log_invalid_object(self, obj: PlatformObject, err: GypsumsailError) -> None:
        self.objects_left_out += 1
        reason = str(err)
        # Its writer may write it again and again.
        if self.left_out_reasons.get(obj.key) == reason:
            return
        if len(self.left_out_reasons) >= MAX_LEFT_OUT_REASONS:
            self.left_out_reasons.clear()
        self.left_out_reasons[obj.key] = reason
        self.telemetry.log.write(
            "object left out", key=obj.key, revision=obj.version, reason=reason
        )

    def _on_reading(self, kind: str, is_reading: bool) -> None:
        age = self.copy_age(kind, self.clock.monotonic())
        self.telemetry.log.write(
            "reading started" if is_reading else "reading stopped",
            kind=kind,
            copy_age_ms=round(age * MILLISECONDS_PER_SECOND) if isfinite(age) else None,
        )

    def _on_availability(self, is_up: bool, reason: str) -> None:
        # Each kind is logged separately. `watch_seconds` is the configured wait of a
        # watch, not the length of the outage.
        event = "store regained" if is_up else "store lost"
        self.telemetry.log.write(event, reason=reason, watch_seconds=WATCH_SECONDS)


def supersedes(document: RoutingDocument, active: RoutingDocument) -> bool:
    """Return whether a document replaces the active one.

    Within an era of the store, the latest write does. A restored store may hold an
    older document than the active one, which stays until the operator writes a newer
    version.
    """
    if era_of(document.revision) == era_of(active.revision):
        return document.revision > active.revision
    return document.version > active.version
