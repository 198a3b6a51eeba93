"""Registers this VM in the platform's store and reads the other VMs there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import cbor2

from gypsumsail.core import cbor
from gypsumsail.core.clock import Clock
from gypsumsail.core.errors import TransportError
from gypsumsail.core.ip import is_ip
from gypsumsail.gossip.peers import PeerTable
from gypsumsail.logs.decisions import DecisionLog
from gypsumsail.object_api.port import MUST_NOT_EXIST, ConflictError, PlatformObject
from gypsumsail.vm.const import (
    IDLE_VM_LIST_POLL_SECONDS,
    VM_LIST_DUTY,
    VM_LIST_POLL_SECONDS,
    VM_LIST_READERS_PER_ZONE,
)
from gypsumsail.vm.ports import VmPorts
from gypsumsail.vm.settings import VmSettings


class VmRegistration:
    """Registration of this VM and list of the other VMs; records never expire.

    Attributes
    ----------
    registered_era
        Era of the store in which this VM was registered; ``None`` before that. A store
        that is restored from an older copy may have lost the record.
    on_first_registered
        Called if the VM was registered for the first time: it has not run before.
    """

    def __init__(
        self,
        settings: VmSettings,
        ports: VmPorts,
        peers: PeerTable,
        clock: Clock,
        log: DecisionLog,
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.peers = peers
        self.clock = clock
        self.log = log
        self.registered_era: int | None = None
        self.on_first_registered: Callable[[], None] = lambda: None
        self.random = Random()

    async def async_run(self) -> None:
        """Register this VM once, and read the list periodically."""
        while True:
            try:
                if self.registered_era != self.ports.eras.current:
                    await self._async_register()
                await self._async_refresh_peers()
            except TransportError as err:
                self.log.write("list of VMs not read", reason=str(err))
            await self._async_wait_for_next_poll()

    async def _async_wait_for_next_poll(self) -> None:
        """Wait until the list is due, or this VM has to be registered again."""
        # The jitter spreads the calls of VMs that started together.
        jitter = self.random.uniform(0.5, 1.5)
        started_at = self.clock.monotonic()
        while True:
            await asyncio.sleep(VM_LIST_POLL_SECONDS * jitter)
            now = self.clock.monotonic()
            if now - started_at >= self._poll_seconds(now) * jitter:
                return
            if self.registered_era != self.ports.eras.current:
                return

    def _poll_seconds(self, now: float) -> float:
        is_reader = not self.peers.is_large(now) or self.peers.is_assigned(
            VM_LIST_DUTY, VM_LIST_READERS_PER_ZONE, now
        )
        return VM_LIST_POLL_SECONDS if is_reader else IDLE_VM_LIST_POLL_SECONDS

    async def _async_register(self) -> None:
        key = f"{self.ports.vms_kind}/{self.settings.vm}"
        value = cbor2.dumps([self.settings.host])
        try:
            await self.ports.object_api.async_put(key, value, if_version=MUST_NOT_EXIST)
        except ConflictError as err:
            await self._async_replace(key, value, err.current)
        else:
            if self.registered_era is None:
                self.on_first_registered()
        self.registered_era = self.ports.eras.current

    async def _async_replace(self, key: str, value: bytes, version: int) -> None:
        """Replace the record of an earlier VM of the same name."""
        found = await self.ports.object_api.async_get(key)
        if found is not None and found.value == value:
            return
        try:
            await self.ports.object_api.async_put(key, value, if_version=version)
        except ConflictError as err:
            self.log.write("entry of this VM was written by another", reason=str(err))

    async def _async_refresh_peers(self) -> None:
        listing = await self.ports.list_vms()
        now = self.clock.monotonic()
        hosts = {host for item in listing.objects if (host := _host(item)) is not None}
        for host in hosts:
            self.peers.add(host, now)
        self.peers.zone_members.record_list(hosts, now)
        self.peers.evict_silent(now)


def _host(found: PlatformObject) -> str | None:
    if found.value is None:
        return None
    try:
        (host,) = cbor.read_list(cbor.load(found.value), 1)
        host = cbor.read_string(host)
    except cbor.ValueInvalidError:
        return None
    return host if is_ip(host) else None
