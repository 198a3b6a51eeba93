"""A request that crashes engines comes again after all machines were killed."""

from __future__ import annotations

import asyncio
from collections import Counter
import contextlib
import os
from pathlib import Path
import signal
import time

from engine_2 import CRASH_MARK
from harness_2 import (
    BROKEN,
    COULD_NOT_RUN,
    HOLDS,
    ROOT,
    TROUBLE,
    ZONES,
    Machine,
    Record,
    Store,
    async_call,
    config,
    free_ports,
    loopback_network,
    plain_route,
    plain_service,
    run,
)

HERE = Path(__file__).resolve().parent
KEY = "nu6wsjnbanfqasnmgkcu"
CONTACT_SECONDS = 3.0
"""The bound ``contact_ms``."""
BACK_SECONDS = 2.0
"""Time after which an engine that has crashed is back."""
PAUSE_SECONDS = 1.5
"""Time between two attempts of the caller."""
DOWN_SECONDS = 0.66
KILLS = 2
MAX_RETRIES = 3
SOUND_PAUSE_SECONDS = 0.2
"""Time between two sound requests of other callers."""


class EnginePlace:
    """Place of an engine, which is back some seconds after a crash.

    Attributes
    ----------
    arrivals
        Monotonic time and id of each request that crashed an engine here.
    """

    def __init__(self, number: int, host: str, store: str, record: Record) -> None:
        self.number, self.host, self.store = number, host, store
        self.record = record
        self.lives = 0
        self.name = ""
        self.arrivals: list[tuple[float, str]] = []
        self.process: asyncio.subprocess.Process | None = None

    async def async_run(self) -> None:
        """Run one engine after the other, each with a new id."""
        while True:
            self.lives += 1
            self.name = f"i-portal{self.number}{self.lives:02d}"
            port = free_ports(self.host, 1)
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "review/engine_2.py",
                self.name,
                "claims-portal",
                ZONES[self.number],
                f"{self.host}:{port}",
                f"{self.host}:{port}",
                self.store,
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            assert self.process.stdout is not None
            while line := await self.process.stdout.readline():
                text = line.decode().strip()
                self.record.write(f"{self.name} {text}")
                if text.startswith("crashes on "):
                    self.arrivals.append((time.monotonic(), text.split()[-1]))
            await self.process.wait()
            await asyncio.sleep(BACK_SECONDS)

    def end(self) -> None:
        """Kill the engine."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGKILL)


class Caller:
    """The caller that sends the request again and again, at any machine."""

    def __init__(self, prefix: str, machines: list[Machine], record: Record) -> None:
        self.prefix, self.machines, self.record = prefix, machines, record
        self.number = 0

    async def async_send(self, method: str, target: str) -> int:
        """Send one attempt; return its status."""
        machine = self.machines[self.number % len(self.machines)]
        request_id = f"{self.prefix}{self.number:04x}"
        self.number += 1
        headers = {
            "Host": "portal.example",
            "Gypsumsail-Request-Id": request_id,
            "Gypsumsail-Deadline-Ms": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        self.record.write(f"{request_id} is sent to {machine.name}")
        status = 0
        with contextlib.suppress(OSError, TimeoutError):
            answer = await async_call(
                machine.host, machine.base, method, target, headers, seconds=6.0
            )
            status = answer.status
        self.record.write(f"{request_id} gets {status}")
        return status

    async def async_send_often(self, times: int) -> None:
        """Send the request several times."""
        for _ in range(times):
            await asyncio.gather(
                self.async_send("GET", f"/status/{CRASH_MARK}/2f"),
                asyncio.sleep(PAUSE_SECONDS),
            )


async def async_send_sound(caller: Caller, counts: Counter[int]) -> None:
    """Send sound requests that may run once, in the background."""
    sends: set[asyncio.Task[None]] = set()

    async def send() -> None:
        counts[await caller.async_send("POST", "/upload/sound/2f")] += 1

    while True:
        task = asyncio.create_task(send())
        sends.add(task)
        task.add_done_callback(sends.discard)
        await asyncio.sleep(SOUND_PAUSE_SECONDS)


async def async_start_all(machines: list[Machine]) -> bool:
    """Start all machines; return whether all have become ready."""
    await asyncio.gather(*(machine.async_start() for machine in machines))
    ready = await asyncio.gather(*(machine.async_wait_ready() for machine in machines))
    return all(ready)


async def async_kill_all(
    machines: list[Machine], store: str, seeds: list[str], record: Record
) -> bool:
    """Kill all processes at once; return whether all have become ready again."""
    for machine in machines:
        machine.signal(signal.SIGKILL)
    record.write("all machines are killed")
    await asyncio.sleep(DOWN_SECONDS)
    for machine in machines:
        machine.write_settings(store, seeds, first=False)
    is_back = await async_start_all(machines)
    record.write("all machines are back")
    return is_back


async def main() -> int:
    """Run the case."""
    record = Record(HERE)
    network = loopback_network()
    store = Store()
    address = await store.async_start(f"{network}.250")
    routes = [
        plain_route("status", "safe", "claims-portal", 2),
        plain_route("upload", "unsafe", "claims-portal", 1),
    ]
    tenants = [{"name": "jeye930", "api_keys": [KEY], "priority": 1}]
    services = [plain_service("claims-portal")]
    await store.async_put("config", "main", config(7, routes, services, tenants))
    places = [
        EnginePlace(number, f"{network}.{100 + number}", address, record)
        for number in range(len(ZONES))
    ]
    machines = [
        Machine(f"front-{zone}-1", f"{network}.{1 + number}", zone)
        for number, zone in enumerate(ZONES)
    ]
    base = free_ports(machines[0].host, 8)
    for machine in machines:
        machine.base = base
    seeds = [f"{machine.host}:{base + 2}" for machine in machines]
    for machine in machines:
        machine.write_settings(address, seeds, first=True)
    tasks = [asyncio.create_task(place.async_run()) for place in places]
    caller = Caller("9c41d07be2a3", machines, record)
    counts: Counter[int] = Counter()
    try:
        await asyncio.sleep(1.0)
        if not await async_start_all(machines):
            return COULD_NOT_RUN
        await asyncio.sleep(4.0)
        if await caller.async_send("GET", "/status/sound/2f") != 200:
            return COULD_NOT_RUN
        sound = Caller("5f20a91c77d4", machines, record)
        tasks.append(asyncio.create_task(async_send_sound(sound, counts)))
        await caller.async_send_often(6)
        crashes = sorted(at for place in places for at, _ in place.arrivals)
        if len(crashes) < MAX_RETRIES:
            record.write("the request has not crashed three engines")
            return COULD_NOT_RUN
        counted_from = crashes[2] + CONTACT_SECONDS
        failed_before = counts[502]
        for _ in range(KILLS):
            if TROUBLE and not await async_kill_all(machines, address, seeds, record):
                return COULD_NOT_RUN
            await asyncio.sleep(CONTACT_SECONDS + 1.0)
            await caller.async_send_often(6)
        late = sorted(
            (at, request_id)
            for place in places
            for at, request_id in place.arrivals
            if at > counted_from
        )
        record.write(
            f"{len(crashes)} crashes before, {len(late)} arrivals over contact_ms "
            f"after the third crash: {[request_id for _, request_id in late]}"
        )
        attempts = len({request_id for _, request_id in late})
        record.write(
            f"in {attempts} attempts of the caller; answers to sound requests: "
            f"{dict(counts)}, of them 502 before: {failed_before}"
        )
        return BROKEN if len(late) > MAX_RETRIES else HOLDS
    finally:
        for task in tasks:
            task.cancel()
        record.close()
        for place in places:
            place.end()
        for machine in machines:
            await machine.async_end()


run(main)
