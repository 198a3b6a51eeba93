"""HTTP client pools for targets and stores, and cancellation of attempts.

The module has nothing to do with model adapters, see `ModelJob.adapter`. Its name is
the logger name in log lines.
"""

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
    """A client that holds connections."""

    async def async_close(self) -> None:
        """Close the idle connections."""


_ClientT = TypeVar("_ClientT", bound=Closable)


class HttpClientPool(Generic[_ClientT]):
    """Clients by VM URL; a client is created when its VM is first used."""

    def __init__(self, make_client: Callable[[str], _ClientT]) -> None:
        self.make_client = make_client
        self.clients: dict[str, _ClientT] = {}

    @callback
    def get(self, vm: VmRecord) -> _ClientT:
        """Return the client of a VM."""
        client = self.clients.get(vm.url)
        if client is None:
            client = self.clients[vm.url] = self.make_client(vm.url)
        return client

    async def async_retain(self, vms: Iterable[VmRecord]) -> None:
        """Retain the clients of the given VMs and close all others."""
        known = {vm.url for vm in vms}
        for url in [url for url in self.clients if url not in known]:
            await self.clients.pop(url).async_close()

    async def async_unload(self) -> None:
        """Close all clients."""
        await self.async_retain(())


class Canceller:
    """Cancels attempts on engines in the background."""

    def __init__(self, engines: HttpClientPool[HttpEngineClient]) -> None:
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
