"""Manages a lease in the platform's object API."""

from __future__ import annotations

import logging

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.eras import EraTracker, fence_floor
from gypsumsail.object_api.port import ConflictError, ObjectApi
from gypsumsail.orders.codec import decode_lease, encode_lease
from gypsumsail.orders.const import LEASE_PREFIX
from gypsumsail.orders.lease import (
    DEFAULT_TIMING,
    EraFences,
    HeldLease,
    LeaseTiming,
    LeaseView,
    WriteLease,
    decide_acquisition,
    decide_renewal,
    held_after_write,
    update_view,
)
from gypsumsail.orders.models import LeaseRecord

LOGGER = logging.getLogger(__name__)


class LeaseManager:
    """Acquires, renews and releases one lease.

    Attributes
    ----------
    held
        The lease as of the last confirmed write of this entry. It stays set after it
        has expired until the loss is detected; check it with ``may_order``.
    view
        The lease as last read while this entry does not hold it.
    eras
        Latest era of the store that holds the lease.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        zone: str,
        holder: str,
        timing: LeaseTiming = DEFAULT_TIMING,
        eras: EraTracker | None = None,
    ) -> None:
        self.api = api
        self.timing = timing
        self.eras = eras if eras is not None else EraTracker()
        self.clock = clock
        self.holder = holder
        self.key = f"{LEASE_PREFIX}{zone}"
        self.held: HeldLease | None = None
        self.view: LeaseView | None = None

    async def async_step(self, highest_fence: int) -> None:
        """Renew the lease, or acquire it if it is free.

        Raises
        ------
        TransportError
            A call failed; a held lease keeps its ``order_until``.
        OrdersCorruptError
            The stored lease can't be decoded.
        """
        if self.held is not None:
            await self._async_renew(self.held, highest_fence)
            return
        view = await self._async_read()
        step = decide_acquisition(
            view,
            self.holder,
            highest_fence,
            self.clock.monotonic(),
            self.timing,
            self._era_fences(),
        )
        if isinstance(step, WriteLease):
            await self._async_write(step)

    async def async_observe(self) -> None:
        """Read the lease of another VM, so that it is known when it expires.

        Raises
        ------
        TransportError
            The lease could not be read.
        OrdersCorruptError
            The stored lease can't be decoded.
        """
        if self.held is None:
            await self._async_read()

    def expires_at(self) -> float:
        """Return when the lease expires if it stays as last read.

        The time is monotonic, and in the past if the lease is held, free or unknown.
        """
        if self.held is not None or self.view is None or self.view.record is None:
            return float("-inf")
        return self.view.since + self.view.record.seconds

    def _era_fences(self) -> EraFences:
        return EraFences(
            floor=fence_floor(self.eras.current),
            lost_grants_until=self.eras.since + self.timing.seconds,
        )

    async def async_release(self) -> None:
        """Release the lease, so that another entry can acquire it immediately."""
        held, self.held = self.held, None
        if held is None:
            return
        record = LeaseRecord(holder="", fence=held.fence, seconds=0.0)
        try:
            await self.api.async_put(
                self.key, encode_lease(record), if_version=held.version
            )
        except (ConflictError, TransportError) as err:
            LOGGER.info("Lease %s could not be released: %s", self.key, err)

    async def _async_renew(self, held: HeldLease, highest_fence: int) -> None:
        step = decide_renewal(
            held, self.holder, highest_fence, self.clock.monotonic(), self.timing
        )
        if not isinstance(step, WriteLease):
            return
        await self._async_write(step)

    async def _async_write(self, step: WriteLease) -> None:
        """Write the lease; it is held or renewed only after a confirmed write."""
        sent_at = self.clock.monotonic()
        try:
            version = await self.api.async_put(
                self.key, encode_lease(step.record), if_version=step.if_version
            )
        except ConflictError as err:
            LOGGER.info(
                "Lease %s not written, its version has changed: %s", self.key, err
            )
            self.held = None
            return
        self.held = held_after_write(step, version, sent_at, self.timing)
        self.view = None

    async def _async_read(self) -> LeaseView:
        found = await self.api.async_get(self.key)
        version = 0
        record = None
        if found is not None and found.value is not None:
            version = found.version
            record = decode_lease(found.value)
        view = update_view(self.view, version, record, self.clock.monotonic())
        self.view = view
        return view
