"""Deletes archived segments that are older than the retention period."""

from __future__ import annotations

from typing import Final

from gypsumsail.object_api.port import ConflictError, ObjectApi
from gypsumsail.timeline.const import (
    ARCHIVE_BUCKET_SECONDS,
    MAX_BUCKETS_PER_SWEEP,
    SECONDS_PER_DAY,
    SWEEP_POSITION_PREFIX,
)
from gypsumsail.timeline.segments import bucket_number, bucket_prefix

_BUCKETS_PER_DAY: Final = SECONDS_PER_DAY // ARCHIVE_BUCKET_SECONDS


class ArchiveSweeper:
    """Deletes the expired buckets of a zone, a few per sweep.

    The number of the first bucket that is not yet swept is stored on the platform.
    Each sweep deletes at most ``MAX_BUCKETS_PER_SWEEP`` buckets, which limits how
    much a VM whose clock is far ahead can delete.
    """

    def __init__(self, api: ObjectApi, zone: str, retention_days: int) -> None:
        self.api = api
        self.retained_buckets = retention_days * _BUCKETS_PER_DAY
        self.position_key = f"{SWEEP_POSITION_PREFIX}{zone}"
        self.zone = zone

    async def async_sweep(self, wall: float) -> int:
        """Delete expired segments and return how many were found.

        The number includes segments that another entry deletes or replaces first.

        Parameters
        ----------
        wall
            Current time in seconds since the Unix epoch.

        Raises
        ------
        TransportError
            The platform could not be reached; the next sweep continues from the
            stored position.
        """
        oldest_retained = bucket_number(wall) - self.retained_buckets
        position = await self.api.async_get(self.position_key)
        if position is None or position.value is None:
            # First sweep of the zone: later sweeps start at this bucket. Version 0
            # means that the key must not exist yet.
            await self._async_store_position(oldest_retained, if_version=0)
            return 0
        start = int(position.value)
        stop = min(start + MAX_BUCKETS_PER_SWEEP, oldest_retained)
        if stop <= start:
            return 0
        deleted = 0
        for bucket in range(start, stop):
            deleted += await self._async_delete_bucket(bucket)
        await self._async_store_position(stop, if_version=position.version)
        return deleted

    async def _async_delete_bucket(self, bucket: int) -> int:
        listing = await self.api.async_list(bucket_prefix(bucket, self.zone))
        for item in listing.objects:
            try:
                await self.api.async_delete(item.key, if_version=item.version)
            except ConflictError:
                # Another entry has deleted or replaced it.
                continue
        return len(listing.objects)

    async def _async_store_position(self, bucket: int, *, if_version: int) -> None:
        try:
            await self.api.async_put(
                self.position_key, str(bucket).encode(), if_version=if_version
            )
        except ConflictError:
            # Another entry has moved the position.
            return
