"""Platform, callers and VM processes that the cases of the third review share.

Only the standard library and the project's stand-in of the object store are used.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
from dataclasses import dataclass, field
import json
import os
from pathlib import Path
import random
import signal
import socket
import sys
import tempfile
import time
from typing import Any

from stand_ins.raw_http import RawRequest, RawServer, encode_response
from stand_ins.v1_object_store import V1ObjectStore

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a case."""
HOST_NAME = "portal.example"
KEY = "k3yofthefirsttenant00"
DOWN_WAIT_SECONDS = 20.0
BEAT_SECONDS = 1.2
SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "{zone}"
region = "r1"
port_range = [{gossip}, {gossip_end}]
seeds = [{seeds}]
first_start = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
beat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
  "stream", "engine", "tenants", "platform"]
[zones]
z1 = "r1"
z2 = "r1"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.537
cores = 2
ram_mb = {memory}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
lost_slack_ms = 200
config_ms = 2000
downgrade_ms = 250
stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
recover_s = 12
transit_ms = 120
again_s = 20
require_fence = false
lease_ms = 3000
freeze_slack_ms = 300
version_ms = 12000
version_all_ms = 17000
[infra]
addr = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """Record of what was sent, answered and run.

    Attributes
    ----------
    findings
        What broke the rule.
    """

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.began_at = time.monotonic()
        self.lines: list[str] = []
        self.findings: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.began_at:7.2f} s  {text}")

    def find(self, text: str) -> None:
        """Add what broke the rule."""
        self.findings.append(text)
        self.add(f"BROKEN: {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free on an address."""
    with socket.socket() as found:
        found.bind((host, 0))
        port = found.getsockname()[1]
    assert isinstance(port, int)
    return port


def free_ports(hosts: list[str], count: int) -> int:
    """Return the first of adjacent ports that are free on all addresses."""
    for _ in range(200):
        base = random.randrange(20_000, 30_000, 8)
        try:
            for host in hosts:
                for offset in range(count):
                    with socket.socket() as found:
                        found.bind((host, base + offset))
        except OSError:
            continue
        return base
    raise CannotRunError("no free ports")


@dataclass
class Vm:
    """A VM, started with the command of the deploy file.

    Attributes
    ----------
    port
        First of its ports: front, ready, control, gossip and metrics.
    memory_mb
        Memory in its settings; nothing here enforces it.
    """

    name: str
    host: str
    zone: str
    port: int
    folder: Path
    memory_mb: int = 300
    process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            front=self.port,
            ready=self.port + 1,
            control=self.port + 2,
            gossip=self.port + 3,
            gossip_end=self.port + 4,
            seeds=", ".join(f'"{seed}:{self.port + 2}"' for seed in seeds),
            store=store,
            memory=self.memory_mb,
        )
        (self.folder / f"{self.name}.toml").write_text(text, encoding="utf-8")

    async def async_start(self) -> None:
        """Start the process; its output is appended to a file."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/launch.py",
                "vm",
                "run",
                "--metrics-port",
                str(self.port + 5),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self.folder),
                    "LANG": "C.UTF-8",
                    "GYPSUMSAIL_CONFIG": str(self.folder / f"{self.name}.toml"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def async_kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def async_is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            async with asyncio.timeout(1.0):
                answer = await async_exchange(
                    self.host,
                    self.port + 1,
                    b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def log_tail(self, count: int = 5) -> list[str]:
        """Return the last lines of the output."""
        path = self.folder / f"{self.name}.log"
        if not path.exists():
            return []
        return path.read_text(encoding="utf-8", errors="replace").splitlines()[-count:]


@dataclass
class Answer:
    """Answer to a request; the status is 0 without a complete one.

    Attributes
    ----------
    is_complete
        Whether the whole body has come, as its length or chunks say.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


async def async_exchange(host: str, port: int, request: bytes) -> Answer:
    """Send one request on a connection of its own and return the answer."""
    connection = await asyncio.open_connection(host, port)
    try:
        return await async_exchange_over(connection, request)
    finally:
        connection[1].close()


async def async_exchange_over(
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], request: bytes
) -> Answer:
    """Send one request over a connection and return the answer."""
    reader, writer = connection
    answer = Answer()
    try:
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        answer.status = int(status_line.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            answer.body = await reader.readexactly(size)
            answer.is_complete = True
        elif "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            answer.is_complete = True
        else:
            answer.body = await reader.read()
            answer.is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError):
        if not answer.status:
            raise
    return answer


def encode_request(
    method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b""
) -> bytes:
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Gypsumsail-Request-Id: {request_id}",
        f"Gypsumsail-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def async_request(
    vm: Vm, method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b""
) -> Answer:
    """Send a client's request to a VM; the status is 0 if no answer came."""
    request = encode_request(method, path, request_id, deadline_ms, body)
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            return await async_exchange(vm.host, vm.port, request)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer()


def route(name: str, kind: str, service: str, **further: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration, at the path of its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10_000,
        "goal_ms": 800,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": False,
        **further,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return the operator's configuration with plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 100,
                "proto": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t1", "api_keys": [KEY], "priority": 1}],
    }


def entry(service: str, address: str, born: int, **further: Any) -> dict[str, Any]:
    """Return an engine's entry, as it writes it itself."""
    return {
        "service": service,
        "addr": address,
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "call_seq": 0,
        "born": born,
        **further,
    }


class PlainEngine:
    """Sound plain engine in the process of the case.

    It checks the id that a request names, answers with its signature, and writes its
    entry at each beat.

    Attributes
    ----------
    state
        State in the entry.
    runs
        Ids of the requests that it has run.
    """

    def __init__(self, name: str, service: str, fleet: Fleet) -> None:
        self.name = name
        self.service = service
        self.fleet = fleet
        self.server = RawServer(self.handle)
        self.address = ""
        self.born = now_ms()
        self.state = "ready"
        self.runs: list[str] = []
        self.beats: asyncio.Task[None] | None = None
        self.beat = asyncio.Event()

    async def async_start(self) -> None:
        """Listen and write the entry at each beat."""
        port = await self.server.async_start("127.0.0.1")
        self.address = f"127.0.0.1:{port}"
        await self.async_write_entry()
        self.beats = asyncio.create_task(self._async_beat())

    async def async_stop(self) -> None:
        """End the engine."""
        if self.beats is not None:
            self.beats.cancel()
        await self.server.async_stop()

    async def async_write_entry(self) -> None:
        """Write the entry; the store keeps its revision if nothing has changed."""
        spec = entry(self.service, self.address, self.born, state=self.state)
        await self.fleet.store.put("servers", self.name, spec)

    async def _async_beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            await self.async_write_entry()
            self.beat.set()

    async def async_wait_beat(self) -> None:
        """Wait until the entry has been written at the next beat."""
        self.beat.clear()
        await self.beat.wait()

    async def handle(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = request.headers.get("gypsumsail-request-id", "")
        headers = {"Gypsumsail-Instance-Id": self.name}
        if request_id:
            headers["Gypsumsail-Request-Id"] = request_id
        named = request.headers.get("gypsumsail-target-instance", self.name)
        if named != self.name:
            headers["Gypsumsail-Not-Run"] = "1"
            writer.write(encode_response(421, b"", headers))
            return True
        if request.path == "/healthz":
            writer.write(encode_response(200, b"", headers))
            return True
        if not request_id:
            headers["Gypsumsail-Not-Run"] = "1"
            writer.write(encode_response(400, b"", headers))
            return True
        self.runs.append(request_id)
        self.fleet.record.add(f"{self.name} of {self.service} runs {request_id}")
        headers["Gypsumsail-Server-Stamp"] = f"{self.name}.{self.born}"
        body = f"answer to {request_id}".encode()
        writer.write(encode_response(200, body, headers))
        return True


class Link:
    """Link to an engine; while it is cut, what is sent arrives later, in order."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.is_whole = asyncio.Event()
        self.is_whole.set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> str:
        """Start listening; return the address."""
        self.server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def async_stop(self) -> None:
        """End all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.is_whole.wait()
            try:
                far_reader, far_writer = await asyncio.open_connection(
                    self.host, self.port
                )
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self._async_forward(reader, far_writer),
                self._async_forward(far_reader, writer),
            )
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)

    async def _async_forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes and the end of the connection; a reset as a reset."""
        try:
            while data := await reader.read(65_536):
                await self.is_whole.wait()
                writer.write(data)
                await writer.drain()
            await self.is_whole.wait()
        except ConnectionError:
            writer.transport.abort()
        else:
            writer.close()


class Fleet:
    """Store of the platform and VMs of one case."""

    def __init__(self, record: Record, vms: int) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="gypsumsail-review-"))
        self.store = V1ObjectStore()
        self.store_address = ""
        hosts = [f"127.0.0.{21 + number}" for number in range(vms)]
        port = free_ports(hosts, 6)
        self.vms = [
            Vm(f"vm-{number}", host, f"z{number % 2 + 1}", port, self.folder)
            for number, host in enumerate(hosts)
        ]

    async def async_start_store(self) -> None:
        """Start the store of the platform."""
        port = await self.store.server.async_start("127.0.0.1")
        self.store_address = f"127.0.0.1:{port}"

    async def async_start_vms(self) -> None:
        """Start all VMs and wait until they are ready."""
        for vm in self.vms:
            vm.write_settings(self.store_address, [found.host for found in self.vms])
            await vm.async_start()
        for vm in self.vms:
            if not await self.async_wait_ready(vm, DOWN_WAIT_SECONDS):
                self.record.add(f"{vm.name} is not ready: {vm.log_tail()}")
                raise CannotRunError(f"{vm.name} did not become ready")
        self.record.add(f"{len(self.vms)} VMs are ready")

    async def async_wait_ready(self, vm: Vm, seconds: float) -> bool:
        """Wait until a VM is ready; return whether it is."""
        for _ in range(int(seconds * 5)):
            if await vm.async_is_ready():
                return True
            await asyncio.sleep(0.2)
        return False

    async def async_stop(self) -> None:
        """End all processes of VMs, and the store."""
        for vm in self.vms:
            await vm.async_kill()
        with contextlib.suppress(OSError):
            await self.store.server.async_stop()


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Record], Awaitable[None]]) -> None:
    """Play a case, write its record and exit with its result."""
    record = Record(folder)
    record.add(f"trouble: {'yes' if has_trouble() else 'no'}")
    try:
        asyncio.run(_async_play(record, play))
    except (CannotRunError, OSError, TimeoutError) as err:
        record.add(f"the case can't run: {type(err).__name__} {err}")
        code = NOT_RUN
    else:
        code = BROKEN if record.findings else HELD
    record.add({BROKEN: "rule broken", HELD: "rule held", NOT_RUN: "not run"}[code])
    record.write()
    result = {"exit": code, "findings": record.findings}
    sys.stdout.write(json.dumps(result) + "\n")
    sys.exit(code)


async def _async_play(
    record: Record, play: Callable[[Record], Awaitable[None]]
) -> None:
    async with asyncio.timeout(110.0):
        await play(record)
