"""Archives events that prove a promise, over an entry of the zone that writes."""

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
    ARCHIVE_ANSWER_SECONDS,
    ARCHIVE_FLUSH_SECONDS,
    ARCHIVE_PUSH_SECONDS,
    ARCHIVE_RETENTION_DAYS,
)
from gypsumsail.timeline.messages import ArchiveAnswer, ArchivePage
from gypsumsail.timeline.retention import ArchiveSweeper
from gypsumsail.timeline.segments import bucket_of, encode_page

_LOGGER: Final = logging.getLogger(__name__)


class TimelineArchive:
    """Part of an entry that lets the time line outlast its VM."""

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
        self.swept_bucket = 0
        self.failures = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.unsubscribe: Callable[[], None] | None = None

    async def async_setup(self) -> None:
        """Start to archive, and to collect for the other entries of the zone."""
        self.unsubscribe = self.peers.subscribe(ArchivePage, self.async_collect)
        turns = self._async_repeat(ARCHIVE_PUSH_SECONDS, self._async_turn)
        flushes = self._async_repeat(ARCHIVE_FLUSH_SECONDS, self._async_flush_now)
        self.tasks = [asyncio.create_task(turns), asyncio.create_task(flushes)]

    async def async_unload(self) -> None:
        """Archive what waits, once, and stop."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.unsubscribe is not None:
            self.unsubscribe()
        while (page := self.queue.take()) is not None:
            if not await self._async_write_now(encode_page(page)):
                return
            self.queue.acknowledge(page)

    async def async_push(self, wall: float) -> bool:
        """Archive the next page; return whether one was archived."""
        page = self.queue.take()
        if page is None:
            return False
        if not await self._async_hand_over(encode_page(page), wall):
            self.failures += 1
            return False
        self.queue.acknowledge(page)
        self.failures = 0
        return True

    async def async_collect(self, _peer: EntryId, message: ArchivePage) -> Message:
        """Take the page of another entry; answer when it is written."""
        return ArchiveAnswer(written=await self.collector.async_submit(message.page))

    def collectors(self, wall: float) -> tuple[str, ...]:
        """Return the entries of the zone that may write, the next one first.

        The first one changes with each bucket, so that the work is spread.
        """
        names = {peer.name for peer in self.peers.peers() if peer.zone == self.zone}
        names.add(self.queue.process.name)
        order = rank(f"{self.zone}/{bucket_of(wall)}", names)
        skipped = self.failures % len(order)
        return (*order[skipped:], *order[:skipped])

    async def _async_write_now(self, data: bytes) -> bool:
        submitted = asyncio.create_task(self.collector.async_submit(data))
        await asyncio.sleep(0)
        await self._async_flush_now()
        return await submitted

    async def _async_hand_over(self, data: bytes, wall: float) -> bool:
        name = self.collectors(wall)[0]
        if name == self.queue.process.name:
            return await self.collector.async_submit(data)
        for peer in self.peers.peers():
            if peer.name == name and peer.zone == self.zone:
                return await self._async_ask(peer, data)
        return False

    async def _async_ask(self, peer: EntryId, data: bytes) -> bool:
        try:
            answer = await self.peers.async_request(
                peer, ArchivePage(page=data), timeout=ARCHIVE_ANSWER_SECONDS
            )
        except TransportError as err:
            _LOGGER.info("Entry %s did not archive: %s", peer.name, err)
            return False
        return isinstance(answer, ArchiveAnswer) and answer.written

    async def _async_turn(self) -> None:
        wall = self.clock.wall()
        while await self.async_push(wall):
            wall = self.clock.wall()
        await self._async_sweep(wall)

    async def _async_sweep(self, wall: float) -> None:
        bucket = bucket_of(wall)
        if bucket == self.swept_bucket:
            return
        if self.collectors(wall)[0] == self.queue.process.name:
            await self.sweeper.async_sweep(wall)
        self.swept_bucket = bucket

    async def _async_flush_now(self) -> None:
        await self.collector.async_flush(self.clock.wall())

    async def _async_repeat(
        self, seconds: float, action: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await asyncio.sleep(seconds)
            try:
                await action()
            except TransportError as err:
                _LOGGER.info("Time line archive waits: %s", err)
            except Exception:
                _LOGGER.exception("Time line archive failed")
