"""Starts a small deployment on loopback addresses for the review's scripts.

The VMs are the project's own program, started with the command of the deploy file. The
platform's store and the servers are stand-ins in the process of the script.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from stand_ins.v1_platform import V1ObjectStore  # noqa: E402

STORE_HOST = "127.81.0.1"
METRICS_PORT = 9464
"""Port in the command of the deploy file."""
HOST = "portal.example"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
ZONES = ("brest-hall", "rennes-hall", "lorient-hall")
READY_SECONDS = 20.0
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "bzh-west"
port_range = [{gossip}, {gossip}]
seeds = [{seeds}]
first_start = false
counts_as_loss = false
discovery = "platform"
entry = "vip"
beat_ms = 1200
[zones]
brest-hall = "bzh-west"
rennes-hall = "bzh-west"
lorient-hall = "bzh-west"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.537
cores = 2
ram_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
lost_slack_ms = 200
config_ms = 2000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
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
"""


# A script that is stopped from outside ends its processes as well.
signal.signal(signal.SIGTERM, signal.default_int_handler)


class CannotRunError(Exception):
    """The case could not be run."""


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_hosts(count: int) -> list[str]:
    """Return hosts on which the metrics port of the deploy file is free."""
    for subnet in range(1, 250):
        hosts = [f"127.81.{subnet}.{11 + number}" for number in range(count)]
        if all(is_free(host, METRICS_PORT) for host in hosts):
            return hosts
    raise CannotRunError("no free hosts")


def is_free(host: str, port: int) -> bool:
    """Return whether a port is free for TCP."""
    with socket.socket() as opened:
        try:
            opened.bind((host, port))
        except OSError:
            return False
    return True


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free for TCP on all hosts."""
    found: list[int] = []
    for port in range(21_000 + os.getpid() % 500 * 20, 60_000):
        if all(is_free(host, port) for host in hosts):
            found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


class Record:
    """What was sent, answered and run, in the case's record file."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        line = f"{self.now():8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


@dataclass(slots=True)
class Machine:
    """One VM: its addresses and, while it runs, its process."""

    name: str
    host: str
    zone: str
    ports: list[int]
    directory: Path
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def front_port(self) -> int:
        """Return the port for clients."""
        return self.ports[0]

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file."""
        front, ready, control, gossip = self.ports
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            front=front,
            ready=ready,
            control=control,
            gossip=gossip,
            store=store,
            seeds=", ".join(f'"{host}:{control}"' for host in seeds),
        )
        (self.directory / "boot.toml").write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        paths = [str(ROOT / "target" / "deps")]
        self.starts += 1
        log = (self.directory / f"log-{self.starts}.jsonl").open("wb")
        with log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": os.pathsep.join(paths),
                    "GYPSUMSAIL_CONFIG": str(self.directory / "boot.toml"),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def async_exit(self, seconds: float) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self.process is not None
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if (code := self.process.poll()) is not None:
                return code
            await asyncio.sleep(0.02)
        raise CannotRunError(f"{self.name} did not exit")

    def kill(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass(slots=True)
class Answer:
    """What a client has seen; the status is 0 without a head."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


async def async_read_head(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read status and headers of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    answer.status = int(first.split()[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()


async def async_read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a body with a length or in chunks."""
    if answer.headers.get("transfer-encoding", "") != "chunked":
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        answer.is_complete = True
        return
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        answer.body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            answer.is_complete = True
            return


def encode_request(
    method: str, path: str, request_id: str, deadline_ms: int, headers: dict[str, str]
) -> bytes:
    """Return a request without a body."""
    all_headers = {"Authorization": f"Bearer {KEY}", **headers}
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Gypsumsail-Request-Id: {request_id}",
        f"Gypsumsail-Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in all_headers.items()),
    ]
    if method == "POST":
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def async_request(
    machine: Machine,
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection and read the whole answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                machine.host, machine.front_port
            )
            try:
                writer.write(
                    encode_request(method, path, request_id, deadline_ms, headers or {})
                )
                await async_read_head(reader, answer)
                await async_read_body(reader, answer)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as err:
        answer.error = type(err).__name__
    return answer


class Deployment:
    """The platform's store and some VMs.

    Attributes
    ----------
    store
        Stand-in of the platform's store.
    machines
        VMs, in different zones.
    """

    def __init__(self, machines: int, record: Record) -> None:
        self.record = record
        self.store = V1ObjectStore()
        self.directory = Path(tempfile.mkdtemp(prefix="gypsumsail-review-"))
        hosts = free_hosts(machines)
        ports = free_ports(hosts, 4)
        self.machines = []
        for number, host in enumerate(hosts):
            name = f"front-{ZONES[number % 3]}-{number + 1}"
            directory = self.directory / name
            directory.mkdir()
            self.machines.append(
                Machine(name, host, ZONES[number % 3], ports, directory)
            )

    async def async_start_store(self, document: dict[str, Any]) -> None:
        """Start the store and write the settings of all VMs."""
        port = await self.store.server.async_start(STORE_HOST)
        await self.store.put("config", "main", document)
        hosts = [machine.host for machine in self.machines]
        for machine in self.machines:
            machine.write_settings(f"{STORE_HOST}:{port}", hosts[:3])

    async def async_start(self, document: dict[str, Any]) -> None:
        """Start the store, then all VMs, and wait until they are ready."""
        await self.async_start_store(document)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await self.async_wait_ready(machine)
        self.record.write(f"{len(self.machines)} machines are ready")

    async def async_wait_ready(self, machine: Machine) -> None:
        """Ask the readiness address until the answer is 200."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            if machine.process is not None and machine.process.poll() is not None:
                raise CannotRunError(f"{machine.name} has ended")
            if await self._async_is_ready(machine):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{machine.name} is not ready")

    @staticmethod
    async def _async_is_ready(machine: Machine) -> bool:
        answer = Answer()
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    machine.host, machine.ports[1]
                )
                try:
                    writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                    await async_read_head(reader, answer)
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    async def async_restart(self, machine: Machine) -> None:
        """Stop a VM with SIGTERM as the platform does, and start it again."""
        self.record.write(f"SIGTERM to {machine.name}")
        machine.signal(signal.SIGTERM)
        code = await machine.async_exit(10.0)
        self.record.write(f"{machine.name} has ended with code {code}")
        machine.start()
        await self.async_wait_ready(machine)
        self.record.write(f"{machine.name} is ready again")

    async def async_stop(self) -> None:
        """End all processes."""
        for machine in self.machines:
            machine.kill()
        await self.store.server.async_stop()
        shutil.rmtree(self.directory, ignore_errors=True)


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "goal_ms": 400,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "safe" else 1,
        "public": False,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "dedicated": False}],
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service of a configuration."""
    return {"name": name, "health_path": "/healthz", "max_conns": 100}


def dump(value: Any) -> str:
    """Return a value as JSON."""
    return json.dumps(value, sort_keys=True)
