"""Tests of VMs whose store is restored from an older copy."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from gypsumsail.object_api.eras import fence_floor
from soak.const import API_KEY, REVOKED_API_KEY
from soak.documents import routing_document
from soak.run import Soak

MAX_ROLLOUT_SECONDS = 30.0
REUSED_REVISION_DELAY_SECONDS = 1.0


class RestoredStoreRun(Soak):
    """Calls without faults but a restore, which loses a document and a rollout."""

    async def async_run_with_restore(self) -> None:
        """Send calls while the store is restored between two rollouts."""
        try:
            await self._start()
            load = asyncio.create_task(self._send_load_until_cancelled())
            await self._lose_changes()
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            await asyncio.gather(*self.calls)
        finally:
            await self._stop()

    async def _send_load_until_cancelled(self) -> None:
        while True:
            await self._send_load(1.0)

    async def _lose_changes(self) -> None:
        copy = self.store.copy()
        await self._name_weights(2)
        self.document_version = 2
        await self.async_put_document([API_KEY])
        await self._wait_until_loaded(2)
        await self.restore_store(copy)
        # The operator's next change gets a revision that was given out before.
        await asyncio.sleep(REUSED_REVISION_DELAY_SECONDS)
        self.document_version = 3
        document = routing_document(self.document_version, [API_KEY, REVOKED_API_KEY])
        await self.store.put("config", "main", document)
        await self._name_weights(3)
        await self._wait_until_loaded(3)

    async def _name_weights(self, version: int) -> None:
        self.weight_version = version
        spec = {"model": "m0", "version": version}
        await self.store.put("versions", "m0", spec)

    async def _wait_until_loaded(self, version: int) -> None:
        engines = [target for target in self.targets if target.is_engine]
        async with asyncio.timeout(MAX_ROLLOUT_SECONDS):
            while any(engine.version < version for engine in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.1)


def log_lines(vm_logs: list[str], event: str) -> list[dict[str, Any]]:
    """Return the log lines of one event of all VMs, in order of their time."""
    lines = [
        json.loads(line)
        for log in vm_logs
        for line in Path(log).read_text(encoding="utf-8").splitlines()
        if f'"event":"{event}"' in line
    ]
    return sorted(lines, key=lambda line: line["time"])


async def test_restored_store_reverts_nothing_and_loses_no_call() -> None:
    run = RestoredStoreRun(3, vms=4, seconds=0.0)
    await run.async_run_with_restore()
    report = run._complete_report()
    assert not report.findings
    assert report.served == report.calls
    documents = log_lines(report.logs, "document in force")
    for vm in run.vms:
        versions = [line["version"] for line in documents if line["vm"] == vm.name]
        assert versions == sorted(versions), vm.name
        assert versions[-1] == 3, vm.name
    # Weights that were loaded before the restore are not ordered again.
    assert [run.order_count for run in run.targets if run.is_engine] == [2] * 4
    # Fencing numbers of the lost lease are not given out again.
    fences = [line["fence"] for line in log_lines(report.logs, "order")]
    assert fences == sorted(fences)
    assert fence_floor(1) < fences[0] < fence_floor(2) < fences[-1]
    # The lost records of the VMs are written again.
    assert len(run.store.objects["gypsumsail-vms"]) == len(run.vms)
