"""Tracking of the prefix caches of engines by their cache events."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import logging

from gypsumsail.context.const import (
    CACHE_EVENTS_WAIT_SECONDS,
    CACHE_MAX_RETRY_SECONDS,
    CACHE_POLL_INTERVAL_SECONDS,
    CACHE_RETRY_SECONDS,
    MAX_WATCHED_ENGINES,
    WATCH_INTERVAL_SECONDS,
)
from gypsumsail.context.engine_view import EngineView
from gypsumsail.context.port import EngineHandle, TargetSource
from gypsumsail.core.errors import GypsumsailError
from gypsumsail.core.rendezvous import rank

_LOGGER = logging.getLogger(__name__)


def select_watched_engines(
    handles: Sequence[EngineHandle], *, entry_name: str, zone: str
) -> list[EngineHandle]:
    """Return the engines that an entry watches, those of its own zone first.

    An entry watches at most `MAX_WATCHED_ENGINES`. Beyond this limit, rendezvous
    hashing gives each entry a different selection.
    """
    if len(handles) <= MAX_WATCHED_ENGINES:
        return list(handles)
    by_target = {handle.target: handle for handle in handles}
    ordered = [by_target[target] for target in rank(entry_name, by_target)]
    ordered.sort(key=lambda handle: handle.zone != zone)
    return ordered[:MAX_WATCHED_ENGINES]


class EngineWatch:
    """Views of the engine caches, updated by the cache events of the engines.

    Attributes
    ----------
    views
        Views of the watched engines by target.
    full_reads
        Number of times that the whole contents of a cache were read, including the
        first read of each engine.
    """

    def __init__(self, source: TargetSource, *, entry_name: str, zone: str) -> None:
        self.source = source
        self.entry_name = entry_name
        self.zone = zone
        self.views: dict[str, EngineView] = {}
        self.full_reads = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._runner: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to watch engines."""
        self._runner = asyncio.create_task(self._async_run())

    async def async_unload(self) -> None:
        """Stop watching engines."""
        tasks = list(self._tasks.values())
        if self._runner is not None:
            tasks.append(self._runner)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()
        self._runner = None

    async def _async_run(self) -> None:
        while True:
            self._update_watched()
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    def _update_watched(self) -> None:
        handles = select_watched_engines(
            self.source.engines(), entry_name=self.entry_name, zone=self.zone
        )
        wanted = {handle.target: handle for handle in handles}
        for target in self._tasks.keys() - wanted.keys():
            self._tasks.pop(target).cancel()
            self.views.pop(target, None)
        for target, handle in wanted.items():
            if target not in self._tasks:
                view = self.views[target] = EngineView()
                follower = self._async_follow(handle, view)
                self._tasks[target] = asyncio.create_task(follower)

    async def _async_follow(self, handle: EngineHandle, view: EngineView) -> None:
        retry_delay = CACHE_RETRY_SECONDS
        while True:
            try:
                await self._async_poll(handle, view)
            except GypsumsailError as error:
                _LOGGER.debug(
                    "Reading cache events of %s failed: %s", handle.target, error
                )
                await asyncio.sleep(retry_delay)
                retry_delay = min(2 * retry_delay, CACHE_MAX_RETRY_SECONDS)
                continue
            retry_delay = CACHE_RETRY_SECONDS
            interval = (
                CACHE_POLL_INTERVAL_SECONDS if view.synced else CACHE_RETRY_SECONDS
            )
            await asyncio.sleep(interval)

    async def _async_poll(self, handle: EngineHandle, view: EngineView) -> None:
        if not view.synced:
            view.replace(await handle.engine.async_cache_contents())
            self.full_reads += 1
        events = await handle.engine.async_cache_events(
            after=view.sequence, wait=CACHE_EVENTS_WAIT_SECONDS
        )
        view.apply(events)
