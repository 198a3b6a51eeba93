"""Builders of VMs that follow the evacuated zones of a small store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import logging

from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.object_api.eras import position
from gypsumsail.object_api.port import Listing, PlatformObject
from tests.catalog.common import KINDS, Catalog
from tests.gateway.common import RecordedLines
from tests.vm.common import HistoryStore

KIND = "evacuations"
SETTLE_SECONDS = 0.4
"""Time in which a watch notices a change, also after a pause for a failed call."""


class EvacuationStore(HistoryStore):
    """A store whose watches take a moment, and that can be restored."""

    async def async_watch(
        self, prefix: str, *, after_revision: int, wait: float
    ) -> Listing:
        await asyncio.sleep(0.01)
        return await super().async_watch(
            prefix, after_revision=after_revision, wait=wait
        )

    def evacuate(self, zone: str, value: bytes = b"{}") -> None:
        """Write an evacuation."""
        self.write(f"{KIND}/{zone}", value)

    def end(self, zone: str) -> None:
        """Remove an evacuation."""
        self.remove(f"{KIND}/{zone}")

    def restore(self, *zones: str) -> None:
        """Go on from an older copy that has the given evacuations."""
        names = [f"{KIND}/{zone}" for zone in zones]
        self.revision = self.compacted_revision = position(2, 40)
        self.objects = {
            key: PlatformObject(key=key, version=position(2, 30), value=b"{}")
            for key in names
        }
        self.changes = []


class FollowingVm(Catalog):
    """A VM that follows the evacuated zones."""

    def __init__(self, store: EvacuationStore, *, is_watcher: bool = True) -> None:
        kinds = replace(KINDS, evacuations=KIND)
        super().__init__(lambda kind: is_watcher, api=store, kinds=kinds)
        self.ended: list[str] = []
        self.coordinator.evacuations.on_ended = lambda zone, now: self.ended.append(
            zone
        )
        self.lines = RecordedLines()
        logger = logging.getLogger("tests.evacuations")
        logger.handlers, logger.propagate = [self.lines], False
        logger.setLevel(logging.INFO)
        self.coordinator.evacuation_updates.log = DecisionLog(self.clock, logger)

    @property
    def zones(self) -> set[str]:
        """Return the evacuated zones."""
        return set(self.coordinator.evacuations.zones)

    async def async_follow(self, seconds: float = SETTLE_SECONDS) -> None:
        """Follow the store for some time."""
        task = asyncio.create_task(self.coordinator.watches[KIND].async_run())
        await asyncio.sleep(seconds)
        task.cancel()
        self.coordinator.tick(self.clock.now)

    def take_from(self, peer: FollowingVm) -> None:
        """Take what another VM has, as after a message that it is ahead."""
        since = self.coordinator.revision(KIND)
        now = self.clock.now
        update = peer.coordinator.peer_update_since(KIND, since, now)
        if update is not None:
            self.coordinator.apply_peer_update(KIND, update, "v2")
