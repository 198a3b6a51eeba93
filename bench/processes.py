"""Starts the processes of a deployment and ends those that it has started."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE, Process
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
import os
from pathlib import Path
import signal
import sys
from types import TracebackType
from typing import Final, Self

ROOT: Final = Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS: Final = 30.0
MAX_OUTPUT_LINES: Final = 200
MAX_OUTPUT_LINE_BYTES: Final = 16 * 1024 * 1024
LISTENING_PREFIX: Final = "listening "


class StartError(Exception):
    """A process ended or timed out before it was ready."""


@dataclass(slots=True, kw_only=True)
class RunningProcess:
    """One process that the launcher has started.

    Attributes
    ----------
    ready_line
        Line that the process printed when it was ready, without its prefix.
    output
        Last lines of standard output and standard error.
    reader
        Task that reads the output.
    """

    name: str
    process: Process
    ready_line: str = ""
    output: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_OUTPUT_LINES))
    reader: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Return the HTTP URL of a process whose ready line is its port."""
        return f"http://127.0.0.1:{int(self.ready_line)}"

    @property
    def is_running(self) -> bool:
        """Return whether the process is not known to have ended."""
        return self.process.returncode is None

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.process.send_signal(signal_number)

    def freeze(self) -> None:
        """Stop the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Continue a frozen process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self.finish_output()

    async def terminate(self, timeout: float) -> int:
        """End the process with SIGTERM; kill it after ``timeout`` seconds.

        Returns
        -------
        int
            Exit code.
        """
        self.thaw()
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
        await self.finish_output()
        return await self.process.wait()

    async def finish_output(self) -> None:
        """Wait until the output is completely read."""
        if self.reader is not None:
            await self.reader


class Launcher:
    """Starts processes; those that still run on exit are killed and reaped."""

    def __init__(self) -> None:
        self.processes: list[RunningProcess] = []

    async def __aenter__(self) -> Self:
        """Return the launcher."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill all processes that this launcher has started, also when cancelled."""
        await asyncio.shield(self.kill_all())

    async def kill_all(self) -> None:
        """Kill and reap the processes that still run."""
        await asyncio.gather(*(process.kill() for process in self.processes))

    async def start_module(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        *,
        environment: dict[str, str] | None = None,
        ready_prefix: str = LISTENING_PREFIX,
    ) -> RunningProcess:
        """Start a Python module and wait until it prints that it is ready.

        Raises
        ------
        StartError
            The process ended or timed out before it was ready.
        """
        running = await self._start_process(name, module, arguments, environment or {})
        ready: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        running.reader = asyncio.create_task(read_output(running, ready, ready_prefix))
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                running.ready_line = await ready
        except TimeoutError:
            raise StartError(
                f"{name} is not ready in time: {list(running.output)}"
            ) from None
        return running

    async def run_module(
        self,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        *,
        environment: dict[str, str] | None = None,
    ) -> RunningProcess:
        """Run a Python module to its end and keep its output."""
        running = await self._start_process(name, module, arguments, environment or {})
        running.reader = asyncio.create_task(read_output(running, None, ""))
        await running.process.wait()
        await running.finish_output()
        return running

    async def _start_process(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        environment: dict[str, str],
    ) -> RunningProcess:
        paths = os.pathsep.join((str(ROOT / "src"), str(ROOT)))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": paths, **environment},
            start_new_session=True,
            limit=MAX_OUTPUT_LINE_BYTES,
        )
        running = RunningProcess(name=name, process=process)
        self.processes.append(running)
        return running


async def read_output(
    running: RunningProcess, ready: asyncio.Future[str] | None, prefix: str
) -> None:
    """Store the last output lines of a process and detect its ready line."""
    if ready is None:
        # No ready line is expected: a cancelled future counts as done.
        ready = asyncio.get_running_loop().create_future()
        ready.cancel()
    stream = running.process.stdout
    while stream is not None and (raw := await stream.readline()):
        line = raw.decode(errors="replace").rstrip()
        running.output.append(line)
        if line.startswith(prefix) and not ready.done():
            ready.set_result(line.removeprefix(prefix))
    if not ready.done():
        ready.set_exception(
            StartError(
                f"{running.name} ended before it was ready: {list(running.output)}"
            )
        )
