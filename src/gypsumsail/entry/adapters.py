"""Pools of HTTP adapters for targets and stores, with one adapter per VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
import logging
from typing import Generic, Protocol, TypeVar

from gypsumsail.core.callback import callback
from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import VmRecord
from gypsumsail.targets.http import HttpEngineClient

_LOGGER = logging.getLogger(__name__)


class Closable(Protocol):
    """An adapter that holds connections."""

    async def async_close(self) -> None:
        """Close the idle connections."""


_AdapterT = TypeVar("_AdapterT", bound=Closable)


class AdapterPool(Generic[_AdapterT]):
    """Adapters by VM URL; an adapter is created when its VM is first used."""

    def __init__(self, make: Callable[[str], _AdapterT]) -> None:
        self.make = make
        self.adapters: dict[str, _AdapterT] = {}

    @callback
    def get(self, vm: VmRecord) -> _AdapterT:
        """Return the adapter of a VM."""
        adapter = self.adapters.get(vm.url)
        if adapter is None:
            adapter = self.adapters[vm.url] = self.make(vm.url)
        return adapter

    async def async_retain(self, vms: Iterable[VmRecord]) -> None:
        """Retain the adapters of the given VMs and close all others."""
        known = {vm.url for vm in vms}
        for url in [url for url in self.adapters if url not in known]:
            await self.adapters.pop(url).async_close()

    async def async_unload(self) -> None:
        """Close all adapters."""
        await self.async_retain(())


class Canceller:
    """Cancels attempts on engines in the background."""

    def __init__(self, engines: AdapterPool[HttpEngineClient]) -> None:
        self.engines = engines
        self.tasks: set[asyncio.Task[None]] = set()

    @callback
    def cancel(self, vm: VmRecord, attempt_id: str) -> None:
        """Start a task that cancels an attempt on an engine."""
        task = asyncio.create_task(self._async_cancel(vm, attempt_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _async_cancel(self, vm: VmRecord, attempt_id: str) -> None:
        try:
            await self.engines.get(vm).async_cancel(attempt_id)
        except TransportError as error:
            _LOGGER.info("Attempt %s could not be cancelled: %s", attempt_id, error)
