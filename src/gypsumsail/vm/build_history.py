"""Which builds of targets were listed, across the end of all VMs.

One VM writes which builds it has observed, and up to which position of the store. A VM
that starts reads all changes of the targets since that position from the store's
history. Together they name each build that may have begun a stream, whether or not its
targets are still listed. Without the whole history nothing is concluded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Final

from gypsumsail.catalog.coordinator import CatalogCoordinator, Decoder
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.core.rendezvous import rank
from gypsumsail.gateway.stream_builds import ObservedBuilds, StreamBuilds
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.object_api.eras import era_of
from gypsumsail.object_api.port import ObjectApi

BUILD_HISTORY_DUTY: Final = "build history"
"""Name of the duty to write the builds; one VM of the fleet has it."""
MAX_KEPT_BUILDS: Final = 64
"""Pairs of service and build that are written; none are if there are more."""
LISTING_POLL_SECONDS: Final = 0.05
"""Pause between looks whether this VM has listed the targets and a document."""
MAX_LISTING_SECONDS: Final = 10.0
"""Time after which a VM that has not listed them asks for no history."""
HISTORY_WAIT_SECONDS: Final = 0.001
"""Wait of a watch that only returns the history."""
MAX_HISTORY_READS: Final = 8
"""Maximum number of watches that return one history."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KeptBuilds:
    """Builds of all targets that were listed until a position of the store."""

    observed: ObservedBuilds
    position: int


def complete_until(builds: KeptBuilds, version: int) -> int:
    """Return the position up to which builds are known that were written as a version.

    Nothing happened between the position and the write itself if they are adjacent.
    """
    return version if version == builds.position + 1 else builds.position


class BuildHistory:
    """Builds that this VM keeps in the store, and those that others kept there.

    Attributes
    ----------
    is_view_current
        Returns whether this VM has heard of all listed targets at a time.
    """

    def __init__(
        self,
        catalog: CatalogCoordinator,
        api: ObjectApi,
        decoder: Decoder,
        builds: StreamBuilds,
        peers: PeerTable,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.catalog = catalog
        self.api = api
        self.decoder = decoder
        self.builds = builds
        self.peers = peers
        self.clock = clock
        self.log = log
        self.is_view_current: Callable[[float], bool] = lambda now: True

    def to_keep(self, now: float) -> KeptBuilds | None:
        """Return what to write; ``None`` without the duty or after a gap."""
        kind = self.catalog.kinds.targets
        if not (
            self._has_duty(now)
            and self.catalog.reads_store(kind)
            and self.is_view_current(now)
        ):
            return None
        states = self.catalog.targets.states.values()
        observed = self.builds.observed((state.entry for state in states), now)
        if observed is None or len(observed.services) > MAX_KEPT_BUILDS:
            return None
        return KeptBuilds(observed=observed, position=self.catalog.revision(kind))

    def _has_duty(self, now: float) -> bool:
        """Return whether this VM, and no other, keeps the builds.

        It is the first watcher of the targets in one of the zones.
        """
        zones = {self.peers.zone, *(peer.zone for peer in self.peers.alive(now))}
        zone = next(iter(rank(BUILD_HISTORY_DUTY, zones)))
        return zone == self.peers.zone and self.peers.is_assigned(
            self.catalog.kinds.targets, 1, now
        )

    async def async_inherit(
        self, found: Iterable[tuple[KeptBuilds, int]], era: int
    ) -> None:
        """Take over what other VMs observed, if the store still has all changes since.

        Parameters
        ----------
        found
            Builds that were kept, each with the version of its object.
        era
            Present era of the store. A restored store may have lost changes, and gives
            their revisions out again, so that builds of earlier eras say nothing.
        """
        candidates = sorted(found, key=lambda item: item[0].position)
        if not candidates or not await self._async_wait_for_listing():
            return
        for kept, _ in candidates:
            # Callers' deadlines may exceed the timeouts of the document.
            self.builds.note_return(kept.observed.seconds)
        kept, version = candidates[-1]
        if era_of(kept.position) != era:
            return
        since = complete_until(kept, version)
        try:
            later = await self._async_read_history(since)
        except GypsumsailError as err:
            self.log.write("build history not read", since=since, reason=str(err))
            return
        services = tuple(sorted({*kept.observed.services, *later}))
        self.builds.inherit(
            replace(kept.observed, services=services), self.clock.monotonic()
        )
        self.log.write(
            "build history read",
            since=since,
            builds=[list(pair) for pair in services],
            seconds=kept.observed.seconds,
        )

    async def _async_wait_for_listing(self) -> bool:
        """Wait for the targets and a document; later changes are observed here."""
        end = self.clock.monotonic() + MAX_LISTING_SECONDS
        while not self.catalog.knows_targets or self.catalog.document is None:
            if self.clock.monotonic() >= end:
                return False
            await asyncio.sleep(LISTING_POLL_SECONDS)
        return True

    async def _async_read_history(self, since: int) -> set[tuple[str, str]]:
        """Return the services and builds of all targets written since a position."""
        kind = self.catalog.kinds.targets
        services: set[tuple[str, str]] = set()
        for _ in range(MAX_HISTORY_READS):
            listing = await self.api.async_watch(
                kind, after_revision=since, wait=HISTORY_WAIT_SECONDS
            )
            for obj in listing.objects:
                if obj.value is not None:
                    services.update(self._read_build(obj.key, obj.value))
            since = max(since, listing.revision)
            # A change since then reaches this VM as its own observation.
            if not listing.objects and since >= self.catalog.revision(kind):
                return services
        raise IncompleteHistoryError("the history has not ended after several reads")

    def _read_build(self, key: str, value: bytes) -> Iterable[tuple[str, str]]:
        """Return service and build of a target; nothing if no VM can use it."""
        try:
            entry = self.decoder.target(key.partition("/")[2], value)
        except GypsumsailError as err:
            self.log.write("object left out", key=key, reason=str(err))
            return ()
        return ((entry.service, entry.build),)


class IncompleteHistoryError(GypsumsailError):
    """The store didn't return the whole history."""

    code = "incomplete_history"
