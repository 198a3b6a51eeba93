"""Distinguishes a lost connection from a crashed target."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import urlsplit

from gypsumsail.core.errors import TransportError
from gypsumsail.object_api.port import VmRecord, VmRole
from gypsumsail.relay.const import PROBE_INTERVAL_SECONDS, PROBE_TIMEOUT_SECONDS
from gypsumsail.relay.models import Selection
from gypsumsail.targets.port import Engine


class TargetProber:
    """Probes whether a target is still the incarnation that received a request.

    Only a refused connection or another incarnation counts as a crash. An
    unreachable target may be healthy on the other side of a network partition.
    """

    def __init__(self, engine_of: Callable[[VmRecord], Engine]) -> None:
        self.engine_of = engine_of

    async def async_has_crashed(self, selection: Selection) -> bool:
        """Return whether this incarnation of the target has certainly ended."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                while not await _async_connection_refused(selection.vm):
                    if selection.vm.role is not VmRole.ENGINE:
                        # A plain service does not report its incarnation.
                        return False
                    incarnation = await self._async_incarnation(selection.vm)
                    if incarnation:
                        return incarnation != selection.incarnation
                    await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        except TimeoutError:
            return False
        return True

    async def _async_incarnation(self, vm: VmRecord) -> str:
        """Return the incarnation of the target, or an empty string if it is unknown.

        A process that is exiting may still accept a connection without answering.
        """
        try:
            load = await self.engine_of(vm).async_load()
        except TransportError:
            return ""
        return load.incarnation


async def _async_connection_refused(vm: VmRecord) -> bool:
    address = urlsplit(vm.url)
    try:
        _, writer = await asyncio.open_connection(address.hostname, address.port)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False
