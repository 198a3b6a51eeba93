"""Batches the pages of several entries into few platform writes."""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ConflictError, ObjectApi
from gypsumsail.timeline.const import MAX_PENDING_BYTES, MAX_SEGMENT_BYTES
from gypsumsail.timeline.records import ProcessId
from gypsumsail.timeline.segments import bucket_number, bucket_prefix, encode_segments

_LOGGER: Final = logging.getLogger(__name__)


class PageCollector:
    """Buffers submitted pages until the next flush.

    Attributes
    ----------
    segment_number
        Number of the latest segment of this process; part of its key.
    write_count
        Number of write calls to the platform.
    """

    def __init__(self, api: ObjectApi, process: ProcessId, zone: str) -> None:
        self.api = api
        self.process = process
        self.zone = zone
        self.pending: list[tuple[bytes, asyncio.Future[bool]]] = []
        self.pending_bytes = 0
        self.segment_number = 0
        self.write_count = 0

    async def async_submit(self, page: bytes) -> bool:
        """Buffer a page, wait for the next flush and return whether it was written.

        Does not wait and returns ``False`` if the buffer is full or the page too large.
        """
        is_full = self.pending_bytes + len(page) > MAX_PENDING_BYTES
        if is_full or len(page) > MAX_SEGMENT_BYTES:
            return False
        written: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.pending.append((page, written))
        self.pending_bytes += len(page)
        return await written

    async def async_flush(self, wall: float) -> None:
        """Write the buffered pages and report the result to the submitters.

        Parameters
        ----------
        wall
            Current time in seconds since the Unix epoch.
        """
        batch, self.pending, self.pending_bytes = self.pending, [], 0
        written = False
        try:
            for segment in encode_segments([page for page, _ in batch]):
                await self._async_write(segment, wall)
            written = True
        except TransportError as err:
            _LOGGER.warning("Archiving a batch of timeline pages failed: %s", err)
        finally:
            for _, waiter in batch:
                if not waiter.done():
                    waiter.set_result(written)

    async def _async_write(self, segment: bytes, wall: float) -> None:
        self.segment_number += 1
        writer_id = f"{self.process.name}-{self.process.incarnation}"
        key = (
            f"{bucket_prefix(bucket_number(wall), self.zone)}"
            f"{writer_id}-{self.segment_number}"
        )
        try:
            await self._async_put(key, segment)
        except TransportError as err:
            if not err.sent:
                raise
            # The write may have succeeded; the repetition then ends in a conflict.
            await self._async_put(key, segment)

    async def _async_put(self, key: str, segment: bytes) -> None:
        """Write a segment; a conflict means that an earlier attempt succeeded."""
        self.write_count += 1
        try:
            # Version 0: the key must not exist yet.
            await self.api.async_put(key, segment, if_version=0)
        except ConflictError:
            _LOGGER.debug("Segment %s was written by an earlier attempt", key)
