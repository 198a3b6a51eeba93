"""VMs of the soak test: the real program in separate processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
import signal
import sys
import tempfile
from time import monotonic

ROOT = Path(__file__).resolve().parent.parent
GRACE_SECONDS = 4.0
MEMORY_MB = 300
SETTINGS_TEMPLATE = """
node = "{name}"
ip = "{host}"
zone = "{zone}"
port_range = [{gossip}, {gossip}]
seeds = [{seeds}]
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
grace_s = {grace}
version_ms = 12000
{bounds}
[limits]
ram_mb = {memory}
[infra]
addr = "{store}"
{regions}
"""


class Vm:
    """One VM with its settings and, while it runs, its process.

    Attributes
    ----------
    front_port
        Port for callers, equal to ``base_port``. The next ports are those of the
        readiness check, of the control connections and of gossip.
    last_signal
        Last signal sent to the current process.
    log_offset
        Size of the log file when the current process was started.
    started_at
        Monotonic time of the last start, in seconds.
    history
        Monotonic time and name of each start and signal.
    root
        Checkout of the build that the next start runs.
    store
        Address of the platform's store in the settings.
    grace_seconds
        Time from a stop signal to the end of the process, by its settings.
    memory_mb
        Memory of the VM by its settings; nothing enforces it.
    bounds
        Further bounds in the settings.
    regions
        Region of each zone in the settings; empty for settings without them.
    """

    def __init__(self, name: str, host: str, zone: str, base_port: int) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.front_port = base_port
        self.base_port = base_port
        self.process: asyncio.subprocess.Process | None = None
        self.last_signal: signal.Signals | None = None
        self.directory = Path(tempfile.mkdtemp(prefix="gypsumsail-soak-"))
        self.log = self.directory / f"{name}.log"
        self.log_offset = 0
        self.started_at = 0.0
        self.history: list[tuple[float, str]] = []
        self.start_lock = asyncio.Lock()
        self.root = ROOT
        self.grace_seconds = GRACE_SECONDS
        self.memory_mb = MEMORY_MB
        self.store = ""
        self.bounds: dict[str, float] = {}
        self.regions: dict[str, str] = {}

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file; ``seeds`` are hosts of other VMs."""
        self.store = store
        regions = [f'{zone} = "{region}"' for zone, region in self.regions.items()]
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            grace=self.grace_seconds,
            host=self.host,
            zone=self.zone,
            gossip=self.base_port + 3,
            front=self.base_port,
            ready=self.base_port + 1,
            control=self.base_port + 2,
            store=store,
            memory=self.memory_mb,
            bounds="\n".join(f"{name} = {x:g}" for name, x in self.bounds.items()),
            regions="\n".join(["[zones]", *regions] if regions else []),
            seeds=", ".join(f'"{host}:{self.base_port + 2}"' for host in seeds),
        )
        (self.directory / "boot.toml").write_text(text, encoding="utf-8")

    async def async_start(self) -> None:
        """Start the process unless it runs; its output is appended to the log.

        Faults that overlap may start it at the same time, and a second process would
        hide the first, which then goes on after the run.
        """
        async with self.start_lock:
            if self.process is None or self.process.returncode is not None:
                await self._async_start()

    async def _async_start(self) -> None:
        self.log_offset = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.root / "deploy" / "launch.py"),
                "vm",
                "run",
                cwd=self.root,
                env={
                    **os.environ,
                    "GYPSUMSAIL_CONFIG": str(self.directory / "boot.toml"),
                },
                stdout=log,
                stderr=log,
            )
        self.started_at = monotonic()
        build = "start" if self.root == ROOT else "start earlier build"
        self.history.append((self.started_at, build))
        self.last_signal = None

    def has_logged_start(self) -> bool:
        """Return whether the current process has logged its start."""
        return b'"event":"start"' in self.log.read_bytes()[self.log_offset :]

    def is_prepared_for(self, signal_number: signal.Signals) -> bool:
        """Return whether the current process handles or ignores a signal."""
        if self.process is None or self.process.returncode is not None:
            return False
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(("SigIgn:", "SigCgt:"))
        ]
        return any(mask >> (signal_number - 1) & 1 for mask in masks)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process that this object has started."""
        if self.process is None or self.process.returncode is not None:
            return
        # The method of the process would collect the exit code if it has just ended,
        # and ``async_wait`` would not get it.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signal_number)
            self.last_signal = signal_number
            self.history.append((monotonic(), signal_number.name))

    def was_stopped_since(self, at: float) -> bool:
        """Return whether a process stood still at any time since a monotonic time."""
        is_stopped = self.last_signal is signal.SIGSTOP
        stop = signal.SIGSTOP.name
        return is_stopped or any(
            step == stop and when >= at for when, step in self.history
        )

    async def async_wait(self) -> int:
        """Wait for the end of the process; return its exit code."""
        assert self.process is not None
        return await self.process.wait()

    async def async_kill(self) -> None:
        """Kill the process, also when it is stopped, and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
