"""Builders of VMs that keep state in the platform's store."""

from __future__ import annotations

from collections.abc import Iterable

from gypsumsail.catalog.watchers import watchers_per_zone
from gypsumsail.core.errors import TransportError
from gypsumsail.gateway.part_suspects import MIN_CRASHES, PartSuspects
from gypsumsail.gateway.stream_builds import NOTE_INTERVAL_SECONDS, StreamBuilds
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.object_api.eras import EraTracker
from gypsumsail.object_api.port import (
    ConflictError,
    Listing,
    ObjectApi,
    PlatformObject,
    WatchExpiredError,
)
from gypsumsail.platform.app import PlatformDecoder
from gypsumsail.vm.build_history import BuildHistory
from gypsumsail.vm.kept_state import KeptStateCoordinator
from tests.catalog.common import (
    KINDS,
    Catalog,
    document_spec,
    listing,
    stored,
    target_spec,
)
from tests.common import ManualClock
from tests.gateway.common import ENGINES, decision_log
from tests.gossip.common import message

KIND = "kept"
RETURN_SECONDS = 5.0


class HistoryStore(ObjectApi):
    """In-memory object API in which versions are revisions, with a history.

    Attributes
    ----------
    compacted_revision
        Newest revision whose change is no longer in the history.
    """

    def __init__(self) -> None:
        self.objects: dict[str, PlatformObject] = {}
        self.changes: list[PlatformObject] = []
        self.revision = 1
        self.compacted_revision = 0
        self.is_down = False
        self.loses_answers = False
        self.writes = 0

    def write(self, key: str, value: bytes) -> int:
        """Write an object."""
        self.revision += 1
        written = PlatformObject(key=key, version=self.revision, value=value)
        self.objects[key] = written
        self.changes.append(written)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an object."""
        self.revision += 1
        del self.objects[key]
        self.changes.append(PlatformObject(key=key, version=self.revision, value=None))

    def add_target(self, name: str, build: str) -> None:
        """Write the record of a target."""
        spec = target_spec(version=build, service=ENGINES)
        value = stored("", 0, spec).value
        assert value is not None
        self.write(f"{KINDS.targets}/{name}", value)

    def remove_target(self, name: str) -> None:
        """Remove the record of a target."""
        self.remove(f"{KINDS.targets}/{name}")

    def compact(self) -> None:
        """Discard the history."""
        self.compacted_revision = self.revision

    async def async_get(self, key: str) -> PlatformObject | None:
        self._check()
        return self.objects.get(key)

    async def async_list(self, prefix: str) -> Listing:
        self._check()
        found = [
            item for key, item in self.objects.items() if key.startswith(f"{prefix}/")
        ]
        return Listing(objects=tuple(found), revision=self.revision)

    async def async_put(self, key: str, value: bytes, *, if_version: int) -> int:
        self._check()
        known = self.objects.get(key)
        current = known.version if known is not None else 0
        if current != if_version:
            raise ConflictError("other version", current=current)
        self.writes += 1
        version = self.write(key, value)
        if self.loses_answers:
            raise TransportError("answer lost", sent=True)
        return version

    async def async_delete(self, key: str, *, if_version: int) -> None:
        self._check()
        self.remove(key)

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        self._check()
        if after_revision < self.compacted_revision:
            raise WatchExpiredError("history is gone")
        found = [
            item
            for item in self.changes
            if item.key.startswith(f"{prefix}/") and item.version > after_revision
        ]
        return Listing(objects=tuple(found), revision=self.revision)

    def _check(self) -> None:
        if self.is_down:
            raise TransportError("no answer", sent=True)


class KeepingVm:
    """A VM of a fleet whose other VMs it doesn't hear."""

    def __init__(
        self, api: HistoryStore, vm: str, clock: ManualClock, zone: str = "z1"
    ) -> None:
        self.api = api
        self.clock = clock
        self.eras = EraTracker()
        self.suspects = PartSuspects()
        self.builds = StreamBuilds(clock.now)
        self.catalog = Catalog()
        self.catalog.coordinator.on_target_read = lambda entry: self.builds.note_entry(
            entry, clock.now
        )
        peers = self.peers = PeerTable(vm, f"10.0.0.{vm[1:]}", zone)
        log = decision_log(clock)
        self.kept_state = KeptStateCoordinator(
            vm,
            KIND,
            api,
            self.eras,
            peers,
            self.suspects,
            BuildHistory(
                self.catalog.coordinator,
                api,
                PlatformDecoder(),
                self.builds,
                peers,
                clock,
                log,
            ),
            clock,
            log,
        )

    async def async_start(self) -> None:
        """List the targets and a document, and read what other VMs have kept."""
        self.catalog.replace(
            KINDS.documents, listing(1, stored(KINDS.document_key, 1, document_spec()))
        )
        self.builds.note_return(RETURN_SECONDS)
        self.catalog.replace(KINDS.targets, await self.api.async_list(KINDS.targets))
        await self.kept_state.async_read()
        await self.kept_state.build_history.async_inherit(
            self.kept_state.kept_builds, self.eras.current
        )

    def watch_like_a_vm_of_a_fleet(self) -> None:
        """Read the targets from the store only with the duty to watch them."""
        watch = self.catalog.coordinator.watches[KINDS.targets]
        watch.is_watcher = lambda kind: self.peers.is_assigned(
            kind, watchers_per_zone(3, is_large=False), self.clock.now
        )

    def hear(self, vms: Iterable[KeepingVm]) -> None:
        """Hear of the other VMs."""
        for other in vms:
            peers = other.peers
            heard = message(peers.vm, host=peers.host, zone=peers.zone)
            self.peers.record_message(heard, self.clock.now)

    async def async_observe(self, seconds: float) -> None:
        """Observe the targets for some time."""
        for _ in range(round(seconds / NOTE_INTERVAL_SECONDS)):
            watch = self.catalog.coordinator.watches[KINDS.targets]
            changes = await self.api.async_watch(
                KINDS.targets, after_revision=watch.state.revision, wait=0.0
            )
            self.catalog.apply(KINDS.targets, changes)
            states = self.catalog.targets.states.values()
            self.builds.note_targets([state.entry for state in states], self.clock.now)
            self.clock.now += NOTE_INTERVAL_SECONDS

    def only_build(self) -> str | None:
        """Return the build that this VM takes for that of every stream."""
        return self.builds.sole_build(ENGINES, self.clock.now)

    def block(self, part: str) -> None:
        """Block a part after crashes of as many targets as needed."""
        for life in range(MIN_CRASHES):
            orders = self.suspects.orders([part], self.clock.now)
            self.suspects.record_crash(orders, "e1", life, self.clock.now)

    async def async_write(self, seconds: float = 60.0) -> None:
        """Let some time pass and write what is due."""
        self.clock.now += seconds
        await self.kept_state.async_write_if_due()
