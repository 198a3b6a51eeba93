"""Stand-ins of the platform, its machines and its clients for the scripts in review/.

Only the standard library is used. Every address is a loopback address.
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
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from typing import Any
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLDS, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ("brest-hall", "rennes-hall", "lorient-hall")
SETTINGS = """
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "bzh-west"
port_range = [{base},{last}]
seeds = [{seeds}]
first_start = {first_start}
counts_as_loss = false
discovery = "platform"
entry = "vip"
beat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream",\
"engine","tenants","platform"]
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


@dataclass(slots=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query."""
        text = self.target.partition("?")[2]
        return dict(item.split("=", 1) for item in text.split("&") if "=" in item)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request whose body has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    found = writer.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def async_serve(handler: Handler, host: str, port: int = 0) -> asyncio.Server:
    """Serve requests; the handler returns whether the connection stays open."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await handler(await read_request(reader), writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, limit=1 << 20)


def port_of(server: asyncio.Server) -> int:
    """Return the port on which a server listens."""
    return int(server.sockets[0].getsockname()[1])


class Store:
    """The platform's store of objects, with watches and conditional writes."""

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 10
        self.changed = asyncio.Condition()
        self.server: asyncio.Server | None = None

    async def async_start(self, host: str) -> str:
        """Start to listen; return the address."""
        self.server = await async_serve(self._async_handle, host)
        return f"{host}:{port_of(self.server)}"

    async def async_put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object; one that does not change keeps its revision."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found["spec"] == spec:
            return found
        self.revision += 1
        created = found["metadata"]["create_revision"] if found else self.revision
        stored = {
            "metadata": {
                "name": name,
                "rev": self.revision,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = stored
        await self._async_note(kind, stored, deleted=False)
        return stored

    async def async_delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            await self._async_note(kind, found, deleted=True)

    async def _async_note(
        self, kind: str, found: dict[str, Any], *, deleted: bool
    ) -> None:
        self.history.append((self.revision, kind, found, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def _async_handle(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        path = unquote(request.path.removeprefix("/v1/objects/"))
        kind, _, name = path.partition("/")
        if request.method == "GET":
            status, body = await self._async_read(kind, name, request.query)
        else:
            status, body = await self._async_write(kind, name, request)
        writer.write(
            encode_answer(
                status, json.dumps(body).encode(), {"Content-Type": "application/json"}
            )
        )
        return True

    async def _async_read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        found = self.objects.get(kind, {})
        if name:
            return (200, found[name]) if name in found else (404, {})
        if "watch" in query:
            return await self._async_watch(
                kind, int(query["watch"]), int(query["wait_ms"]) / 1000
            )
        return 200, {
            "items": [found[key] for key in sorted(found)],
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _async_watch(self, kind: str, after: int, wait: float) -> tuple[int, Any]:
        end = time.monotonic() + wait
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for revision, changed, found, deleted in self.history
                if changed == kind and revision > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def _async_write(
        self, kind: str, name: str, request: Request
    ) -> tuple[int, Any]:
        body = json.loads(request.body or b"{}")
        metadata = body.get("metadata", {})
        name = name or metadata.get("name", "")
        found = self.objects.get(kind, {}).get(name)
        expected = metadata.get("rev", request.query.get("rev"))
        if request.method == "POST" and found is not None:
            return 409, found
        if request.method in ("PUT", "DELETE"):
            if found is None:
                return 404, {}
            if expected is not None and int(expected) != found["metadata"]["rev"]:
                return 409, found
        if request.method == "DELETE":
            await self.async_delete(kind, name)
            return 200, found
        return 200, await self.async_put(kind, name, body.get("spec"))


class Link:
    """Network link to one address, as a TCP proxy.

    Attributes
    ----------
    whole
        Set unless the link is partitioned. Bytes and the end of a connection wait in
        the kernel of their sender meanwhile, which sends them again after the cut;
        bytes of a sender that has reset the connection are lost.
    """

    RETRANSMISSION_SECONDS = 0.2

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.whole = asyncio.Event()
        self.whole.set()
        self.server: asyncio.Server | None = None

    async def async_start(self, host: str) -> str:
        """Start to listen; return the address."""
        self.server = await asyncio.start_server(self._async_serve, host, 0)
        return f"{host}:{port_of(self.server)}"

    async def _async_wait(self) -> None:
        if self.whole.is_set():
            return
        await self.whole.wait()
        await asyncio.sleep(self.RETRANSMISSION_SECONDS)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._async_wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            reset(writer)
            return
        await asyncio.gather(
            self._async_pass(reader, far_writer),
            self._async_pass(far_reader, writer),
        )

    async def _async_pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await self._async_wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            await self._async_wait()
            reset(writer)
            return
        await self._async_wait()
        writer.close()


@dataclass
class Machine:
    """One machine of the system, with the command of deploy/system.toml."""

    name: str
    host: str
    zone: str
    memory_mb: int = 300
    base: int = 0
    process: asyncio.subprocess.Process | None = None
    directory: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-"))
    )

    @property
    def log(self) -> Path:
        """Return the file with the output."""
        return self.directory / f"{self.name}.log"

    def write_settings(self, store: str, seeds: list[str], *, first: bool) -> None:
        """Write the settings as the platform would."""
        if not self.base:
            self.base = free_ports(self.host, 8)
        text = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            base=self.base + 3,
            last=self.base + 7,
            front=self.base,
            ready=self.base + 1,
            control=self.base + 2,
            memory=self.memory_mb,
            store=store,
            first_start="true" if first else "false",
            seeds=", ".join(f'"{seed}"' for seed in seeds),
        )
        (self.directory / "boot.toml").write_text(text, encoding="utf-8")

    async def async_start(self) -> None:
        """Start the program."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.directory),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GYPSUMSAIL_CONFIG": str(self.directory / "boot.toml"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/launch.py",
                "vm",
                "run",
                "--metrics-port",
                "9464",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def async_wait_ready(self, seconds: float = 20.0) -> bool:
        """Wait until the machine says that it is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, ValueError, TimeoutError, EOFError):
                answer = await async_call(
                    self.host, self.base + 1, "GET", "/v1/readyz", {}, seconds=1.0
                )
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def async_end(self) -> None:
        """End the process and remove its files."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def free_ports(host: str, count: int) -> int:
    """Return the first of some ports in a row that are free at an address."""
    for _ in range(200):
        base = random.randint(20_000, 55_000)
        held = []
        try:
            for port in range(base, base + count):
                found = socket.socket()
                held.append(found)
                found.bind((host, port))
            return base
        except OSError:
            continue
        finally:
            for found in held:
                found.close()
    raise RuntimeError("no free ports")


def loopback_network() -> str:
    """Return a random prefix of three numbers within 127.0.0.0/8."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


@dataclass(slots=True)
class Answer:
    """An answer as a client has read it.

    Attributes
    ----------
    status
        Status; 0 if the connection ended before a whole answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


async def async_read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer that has a length or is chunked."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, {}, b"", is_whole=False)
    first, *lines = head.strip().split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, body, is_whole=False)
    return Answer(status, headers, body)


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a request; one with a body states its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def async_call(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 10.0,
) -> Answer:
    """Make one call over a connection of its own."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
        try:
            writer.write(
                encode_request(method, target, {"Host": host, **headers}, body)
            )
            return await async_read_answer(reader)
        finally:
            writer.close()


class Record:
    """Lines on what was sent, answered and run, in record.txt."""

    def __init__(self, directory: Path) -> None:
        self.started_at = time.monotonic()
        self.file = (directory / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        if self.file.closed:
            return
        line = f"{time.monotonic() - self.started_at:8.3f}  {text}"
        print(line, file=self.file, flush=True)

    def close(self) -> None:
        """Take no more lines."""
        self.file.close()


def config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return a configuration with the limits of kerlann-claims."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a service without a model."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 100,
        "proto": "h1",
        "tls": False,
    }


def plain_route(name: str, kind: str, service: str, attempts: int) -> dict[str, Any]:
    """Return a route with the goal and timeout of kerlann-claims."""
    return {
        "name": name,
        "host": "portal.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "goal_ms": 300,
        "priority": 2,
        "service": service,
        "attempts": attempts,
        "public": False,
    }


def run(main: Callable[[], Awaitable[int]]) -> None:
    """Run a script to its end within its time limit."""
    try:
        sys.exit(asyncio.run(asyncio.wait_for(main(), 110)))
    except TimeoutError:
        sys.exit(COULD_NOT_RUN)
