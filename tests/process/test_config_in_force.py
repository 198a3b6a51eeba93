"""Tests of how soon a change of the routing document is in force on all VMs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import signal

import httpx

from gypsumsail.core.rendezvous import rank
from soak.const import API_KEY
from soak.documents import routing_document
from soak.run import Soak
from soak.vms import Vm

VMS = 6
WATCHERS = 3
SEED = 4201
# The VMs have heard of each other by then, and their first watches have ended.
SETTLED_SECONDS = 5.0
# Time from the acknowledgement of a change from which no VM may act on an older one.
CONFIG_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 5.0


class OneZoneRun(Soak):
    """VMs of one zone, of which some only hear of changes from the others."""

    uses_kept_connections = False

    def __init__(self) -> None:
        super().__init__(SEED, VMS, 0.0)
        for vm in self.vms:
            vm.zone = "z0"

    @asynccontextmanager
    async def running(self) -> AsyncIterator[OneZoneRun]:
        """Start all processes, and stop them at the end."""
        try:
            await self._start()
            await asyncio.sleep(SETTLED_SECONDS)
            yield self
        finally:
            await self._stop()

    def watchers(self) -> list[Vm]:
        """Return the VMs that watch the document for the zone."""
        names = list(rank("config", [vm.name for vm in self.vms]))[:WATCHERS]
        return [vm for vm in self.vms if vm.name in names]

    async def async_add_route(self, prefix: str) -> None:
        """Write the document with one more route; return once it is acknowledged."""
        self.document_version += 1
        document = routing_document(self.document_version, self.document_keys)
        routes = document["routes"]
        assert isinstance(routes, list)
        added = {**routes[0], "name": "added", "path_prefix": prefix}
        await self.store.put("config", "main", {**document, "routes": [*routes, added]})


async def async_status(vm: Vm, path: str, request_id: str) -> int:
    """Return the status of a call to a VM."""
    async with httpx.AsyncClient(
        trust_env=False, timeout=CALL_TIMEOUT_SECONDS
    ) as client:
        answer = await client.get(
            f"http://{vm.host}:{vm.front_port}{path}",
            headers={
                "Host": "soak.example",
                "Authorization": f"Bearer {API_KEY}",
                "Gypsumsail-Request-Id": request_id,
                "Gypsumsail-Deadline-Ms": "3000",
            },
        )
    return answer.status_code


async def test_change_is_in_force_in_time_while_the_watchers_stand_still() -> None:
    async with OneZoneRun().running() as run:
        watchers = run.watchers()
        calm = [vm for vm in run.vms if vm not in watchers]
        for vm in watchers:
            vm.send_signal(signal.SIGSTOP)
        await run.async_add_route("/added/")
        await asyncio.sleep(CONFIG_SECONDS)
        found = await asyncio.gather(
            *(
                async_status(vm, "/added/x", f"{number:016x}")
                for number, vm in enumerate(calm, start=1)
            )
        )
        for vm in watchers:
            vm.send_signal(signal.SIGCONT)
    assert 404 not in found, dict(zip([vm.name for vm in calm], found, strict=True))
