"""Archives events on the platform through one collecting entry per zone.

An entry is a process that accepts the requests of callers. Each entry sends pages
of its events to the collector of its zone, which writes them in batches.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import logging
from typing import Final

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.rendezvous import rank
from gypsumsail.object_api.port import ObjectApi
from gypsumsail.peers.port import EntryId, Message, PeerNetwork
from gypsumsail.timeline.archive_queue import ArchiveQueue
from gypsumsail.timeline.collector import PageCollector
from gypsumsail.timeline.const import (
    ARCHIVE_FLUSH_INTERVAL_SECONDS,
    ARCHIVE_PUSH_INTERVAL_SECONDS,
    ARCHIVE_REQUEST_TIMEOUT_SECONDS,
    ARCHIVE_RETENTION_DAYS,
)
from gypsumsail.timeline.messages import ArchiveAnswer, ArchivePage
from gypsumsail.timeline.retention import ArchiveSweeper
from gypsumsail.timeline.segments import bucket_number, encode_page

_LOGGER: Final = logging.getLogger(__name__)


class TimelineArchiver:
    """Archives the events of this entry, and those of its zone while it is collector.

    Sends pages of queued events to the collector of the zone. As the collector, it
    also writes the pages of all entries of the zone to the platform and deletes
    expired segments. Archived events outlive the VM that recorded them.

    Attributes
    ----------
    last_sweep_check_bucket
        Time bucket in which this entry last checked whether it has to sweep.
    consecutive_failures
        Number of pushes that failed since the last page was archived.
    """

    def __init__(
        self,
        queue: ArchiveQueue,
        peers: PeerNetwork,
        api: ObjectApi,
        clock: Clock,
        zone: str,
        retention_days: int = ARCHIVE_RETENTION_DAYS,
    ) -> None:
        self.queue = queue
        self.peers = peers
        self.clock = clock
        self.zone = zone
        self.collector = PageCollector(api, queue.process, zone)
        self.sweeper = ArchiveSweeper(api, zone, retention_days)
        self.last_sweep_check_bucket = 0
        self.consecutive_failures = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.unsubscribe: Callable[[], None] | None = None

    async def async_setup(self) -> None:
        """Start archiving events and accepting pages of other entries of the zone."""
        self.unsubscribe = self.peers.subscribe(ArchivePage, self.async_collect)
        pushes = self._async_run_periodically(
            ARCHIVE_PUSH_INTERVAL_SECONDS, self._async_push_and_sweep
        )
        flushes = self._async_run_periodically(
            ARCHIVE_FLUSH_INTERVAL_SECONDS, self._async_flush
        )
        self.tasks = [asyncio.create_task(pushes), asyncio.create_task(flushes)]

    async def async_unload(self) -> None:
        """Stop the tasks and try once to archive the queued events."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.unsubscribe is not None:
            self.unsubscribe()
        while (page := self.queue.next_page()) is not None:
            if not await self._async_submit_and_flush(encode_page(page)):
                return
            self.queue.acknowledge(page)

    async def async_push(self, wall: float) -> bool:
        """Archive the next page; return whether a page was archived.

        Parameters
        ----------
        wall
            Current time in seconds since the Unix epoch.
        """
        page = self.queue.next_page()
        if page is None:
            return False
        if not await self._async_send_to_collector(encode_page(page), wall):
            self.consecutive_failures += 1
            return False
        self.queue.acknowledge(page)
        self.consecutive_failures = 0
        return True

    async def async_collect(self, _peer: EntryId, message: ArchivePage) -> Message:
        """Submit the page of another entry and respond once it is written."""
        return ArchiveAnswer(written=await self.collector.async_submit(message.page))

    def ranked_collectors(self, wall: float) -> tuple[str, ...]:
        """Return the candidate collectors of the zone in order of preference.

        The order changes with each time bucket to spread the load, and rotates
        by one entry after each failure.
        """
        names = {peer.name for peer in self.peers.peers() if peer.zone == self.zone}
        names.add(self.queue.process.name)
        ranked = rank(f"{self.zone}/{bucket_number(wall)}", names)
        skipped = self.consecutive_failures % len(ranked)
        return (*ranked[skipped:], *ranked[:skipped])

    async def _async_submit_and_flush(self, data: bytes) -> bool:
        submitted = asyncio.create_task(self.collector.async_submit(data))
        # Let the task add the page to the buffer before the flush.
        await asyncio.sleep(0)
        await self._async_flush()
        return await submitted

    async def _async_send_to_collector(self, data: bytes, wall: float) -> bool:
        name = self.ranked_collectors(wall)[0]
        if name == self.queue.process.name:
            return await self.collector.async_submit(data)
        for peer in self.peers.peers():
            if peer.name == name and peer.zone == self.zone:
                return await self._async_send_page(peer, data)
        return False

    async def _async_send_page(self, peer: EntryId, data: bytes) -> bool:
        try:
            answer = await self.peers.async_request(
                peer, ArchivePage(page=data), timeout=ARCHIVE_REQUEST_TIMEOUT_SECONDS
            )
        except TransportError as err:
            _LOGGER.info("Entry %s did not archive the page: %s", peer.name, err)
            return False
        return isinstance(answer, ArchiveAnswer) and answer.written

    async def _async_push_and_sweep(self) -> None:
        wall = self.clock.wall()
        while await self.async_push(wall):
            wall = self.clock.wall()
        await self._async_sweep(wall)

    async def _async_sweep(self, wall: float) -> None:
        bucket = bucket_number(wall)
        if bucket == self.last_sweep_check_bucket:
            return
        if self.ranked_collectors(wall)[0] == self.queue.process.name:
            await self.sweeper.async_sweep(wall)
        self.last_sweep_check_bucket = bucket

    async def _async_flush(self) -> None:
        await self.collector.async_flush(self.clock.wall())

    async def _async_run_periodically(
        self, seconds: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await asyncio.sleep(seconds)
            try:
                await action()
            except TransportError as err:
                # Only the sweep raises this error; pushes and flushes handle theirs.
                _LOGGER.info(
                    "Deleting expired timeline segments failed and will be retried: %s",
                    err,
                )
            except Exception:
                _LOGGER.exception(
                    "Unexpected error while pushing, flushing or sweeping the timeline"
                )
