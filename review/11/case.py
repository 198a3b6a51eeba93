"""A plain engine is cut off, crashes behind the cut and starts again under its id.

Its answer has no length. The half that was written before, and the end of its
connection, arrive after the cut.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from pathlib import Path
import signal
import sys

from engine_3 import whole_body
from harness_3 import (
    ROOT,
    Answer,
    CannotRunError,
    Fleet,
    Link,
    Record,
    async_request,
    configuration,
    free_port,
    has_trouble,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
ENGINES = 6
"""Of these one is cut off: a share of 0.167, where the site's largest is 0.17."""
REQUESTS = 12
CUT_SECONDS = 4.0
DOWN_SECONDS = 2.0
WORK_SECONDS = 1.0
DEADLINE_MS = 9000


class EngineProcess:
    """Process of an engine, with its link."""

    def __init__(self, name: str, fleet: Fleet, record: Record) -> None:
        self.name = name
        self.fleet = fleet
        self.record = record
        self.port = free_port()
        self.link = Link("127.0.0.1", self.port)
        self.listed = ""
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.half_written: list[str] = []

    async def async_start(self) -> None:
        """Start the process, under the id and address that it may have had before."""
        if not self.listed:
            self.listed = await self.link.async_start()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(FOLDER.parent / "engine_3.py"),
            self.name,
            "portal",
            "127.0.0.1",
            str(self.port),
            self.fleet.store_address,
            self.listed,
            str(WORK_SECONDS),
            stdout=asyncio.subprocess.PIPE,
            env={"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT)},
        )
        self.reader = asyncio.create_task(self._async_read())

    async def _async_read(self) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            fields = json.loads(line)
            self.record.add(f"engine: {line.decode().strip()}")
            if fields["step"] == "half written":
                self.half_written.append(fields["request"])

    async def async_kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self.reader is not None:
            with contextlib.suppress(asyncio.CancelledError):
                await self.reader


async def async_cut_off(engine: EngineProcess) -> None:
    """Cut an engine off; it crashes behind the cut and starts again."""
    record = engine.record
    if not engine.half_written:
        raise CannotRunError("no request has reached an engine")
    engine.link.is_whole.clear()
    record.add(f"trouble: {engine.name} is cut off")
    await asyncio.sleep(0.2)
    await engine.async_kill()
    record.add(f"trouble: {engine.name} crashes")
    await asyncio.sleep(DOWN_SECONDS)
    await engine.async_start()
    record.add(f"trouble: {engine.name} starts again")
    await asyncio.sleep(CUT_SECONDS - DOWN_SECONDS - 0.2)
    engine.link.is_whole.set()
    record.add("trouble: the cut has healed")


def check(record: Record, request_id: str, answer: Answer) -> None:
    """Check the answer to a request against the rule."""
    whole = whole_body(request_id)
    record.add(
        f"client: {request_id} got status {answer.status},"
        f" {len(answer.body)} of {len(whole)} bytes, complete {answer.is_complete},"
        f" stamp {answer.headers.get('gypsumsail-server-stamp')}"
    )
    if 200 <= answer.status < 300 and answer.is_complete and answer.body != whole:
        record.find(
            f"MIXED: {request_id} was answered {answer.status} with"
            f" Content-Length {answer.headers.get('content-length')};"
            f" the engine's whole body has {len(whole)} bytes"
        )


async def async_play(record: Record) -> None:
    """Play the case."""
    fleet = Fleet(record, vms=2)
    await fleet.async_start_store()
    engines = [
        EngineProcess(f"i-portal-{number}", fleet, record) for number in range(ENGINES)
    ]
    try:
        for engine in engines:
            await engine.async_start()
        routes = [route("status", "safe", "portal")]
        await fleet.store.put("config", "main", configuration(1, routes, ["portal"]))
        await fleet.async_start_vms()
        await asyncio.sleep(2.0)
        tasks = {}
        for number in range(REQUESTS):
            request_id = f"{number:016x}"
            vm = fleet.vms[number % len(fleet.vms)]
            record.add(f"client: {request_id} sent to {vm.name}")
            tasks[request_id] = asyncio.create_task(
                async_request(vm, "GET", "/status/a", request_id, DEADLINE_MS)
            )
        for _ in range(50):
            if sum(len(engine.half_written) for engine in engines) == REQUESTS:
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        if has_trouble():
            await async_cut_off(max(engines, key=lambda found: len(found.half_written)))
        for request_id, task in tasks.items():
            check(record, request_id, await task)
        served = sum(task.result().status == 200 for task in tasks.values())
        record.add(f"{served} of {REQUESTS} requests were answered 200")
        if not has_trouble() and served < REQUESTS:
            record.find("requests failed without a disruption")
    finally:
        for engine in engines:
            await engine.link.async_stop()
        await fleet.async_stop()
        for engine in engines:
            await engine.async_kill()


if __name__ == "__main__":
    run_case(FOLDER, async_play)
