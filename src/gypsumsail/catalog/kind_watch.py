"""Keeps the copy of one kind up to date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gypsumsail.catalog.const import (
    MAX_RETRY_SECONDS,
    PROBE_SECONDS,
    RETRY_SECONDS,
    WATCH_OVERRUN_SECONDS,
    WATCH_SECONDS,
    WATCHER_CHECK_SECONDS,
)
from gypsumsail.catalog.kind_state import Changes, KindState
from gypsumsail.catalog.store_health import StoreHealth
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ObjectApi, WatchExpiredError


class KindWatch:
    """Lists a kind once and then watches it, for as long as it runs.

    Attributes
    ----------
    must_list
        Whether the next call lists anew instead of watching.
    on_changes
        Called with what changed.
    is_assigned
        Says whether this VM is one of those that watch a kind.
    on_link
        Called when the store is lost or back; with the reason of a loss.
    """

    def __init__(
        self,
        api: ObjectApi,
        kind: str,
        health: StoreHealth,
        clock: Clock,
        on_changes: Callable[[str, Changes], None],
        on_availability: Callable[[bool, str], None],
        is_watcher: Callable[[str], bool],
    ) -> None:
        self.api = api
        self.kind = kind
        self.health = health
        self.clock = clock
        self.state = KindState()
        self.must_list = True
        self.on_changes = on_changes
        self.on_availability = on_availability
        self.is_watcher = is_watcher

    @property
    def is_watching(self) -> bool:
        """Return whether this VM asks the store itself, and not its peers."""
        return not self.state.revision or self.is_watcher(self.kind)

    async def async_run(self) -> None:
        """Follow the kind until cancelled."""
        pause = RETRY_SECONDS
        while True:
            if not self.is_watching:
                await asyncio.sleep(WATCHER_CHECK_SECONDS)
                continue
            try:
                changes = await self._async_step()
            except WatchExpiredError:
                self.must_list = True
                continue
            except TransportError as err:
                # What changed meanwhile may be forgotten; the next watch tells.
                if self.health.failed():
                    self.on_availability(False, str(err))
                await asyncio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_SECONDS)
                continue
            pause = RETRY_SECONDS
            if self.health.answered(self.clock.monotonic()):
                self.on_availability(True, "")
            if changes.written or changes.removed:
                self.on_changes(self.kind, changes)

    async def _async_step(self) -> Changes:
        if self.must_list:
            listing = await self.api.async_list(self.kind)
            self.must_list = False
            return self.state.replace(listing)
        started_at = self.clock.monotonic()
        # A store that may still be away is asked for a short answer.
        wait = PROBE_SECONDS if self.health.is_failing else WATCH_SECONDS
        listing = await self.api.async_watch(
            self.kind, after_revision=self.state.revision, wait=wait
        )
        now = self.clock.monotonic()
        if now - started_at > wait + WATCH_OVERRUN_SECONDS:
            # The store was silent for a while: removals may be lapses.
            self.health.failed()
        return self.state.apply(listing)
