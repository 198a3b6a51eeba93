"""Keeps the lease of a zone's issuer in the platform's object API."""

from __future__ import annotations

import logging

from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import ConflictError, ObjectApi
from gypsumsail.orders.codec import decode_lease, encode_lease
from gypsumsail.orders.const import LEASE_PREFIX
from gypsumsail.orders.lease import (
    DEFAULT_TIMING,
    HeldLease,
    LeaseTiming,
    LeaseView,
    WriteLease,
    decide_acquisition,
    decide_renewal,
    held_after_write,
    observe,
)
from gypsumsail.orders.models import LeaseRecord

LOGGER = logging.getLogger(__name__)


class LeaseManager:
    """Takes, renews and gives back one lease.

    Attributes
    ----------
    held
        The lease while it is held. A lease that ran out stays here until its
        loss is seen: ask ``may_order``.
    view
        The lease as last read while it is not held.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        zone: str,
        holder: str,
        timing: LeaseTiming = DEFAULT_TIMING,
    ) -> None:
        self.api = api
        self.timing = timing
        self.clock = clock
        self.holder = holder
        self.key = f"{LEASE_PREFIX}{zone}"
        self.held: HeldLease | None = None
        self.view: LeaseView | None = None

    async def async_step(self, highest_fence: int) -> None:
        """Renew the lease, or take it when it is free.

        Raises
        ------
        TransportError
            A call failed; the lease is as good as it was before.
        """
        if self.held is not None:
            await self._async_renew(self.held, highest_fence)
            return
        view = await self._async_read()
        step = decide_acquisition(
            view, self.holder, highest_fence, self.clock.monotonic(), self.timing
        )
        if isinstance(step, WriteLease):
            await self._async_write(step)

    async def async_release(self) -> None:
        """Let another entry take over at once."""
        held, self.held = self.held, None
        if held is None:
            return
        record = LeaseRecord(holder="", fence=held.fence, seconds=0.0)
        try:
            await self.api.async_put(
                self.key, encode_lease(record), if_version=held.version
            )
        except (ConflictError, TransportError) as err:
            LOGGER.info("Lease %s not given back: %s", self.key, err)

    async def _async_renew(self, held: HeldLease, highest_fence: int) -> None:
        step = decide_renewal(
            held, self.holder, highest_fence, self.clock.monotonic(), self.timing
        )
        if not isinstance(step, WriteLease):
            return
        await self._async_write(step)

    async def _async_write(self, step: WriteLease) -> None:
        """Write the lease; only a confirmed write counts."""
        sent_at = self.clock.monotonic()
        try:
            version = await self.api.async_put(
                self.key, encode_lease(step.record), if_version=step.if_version
            )
        except ConflictError as err:
            LOGGER.info("Lease %s has moved on: %s", self.key, err)
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
        view = observe(self.view, version, record, self.clock.monotonic())
        self.view = view
        return view
