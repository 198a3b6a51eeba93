"""Tests of the launcher, which must end all processes that it has started."""

from __future__ import annotations

import asyncio
import os

import httpx
import pytest

from bench.processes import Launcher, StartError
from tests.stand_ins.common import counters


def is_pid_in_use(pid: int) -> bool:
    """Return whether a process id is in use, including by a zombie process."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def test_launcher_ends_frozen_processes_after_an_error() -> None:
    pids: list[int] = []

    async def run_and_break() -> None:
        async with Launcher() as launcher:
            for name in ("a", "b"):
                process = await launcher.start_module(name, "stand_ins.plain")
                pids.append(process.process.pid)
            process.freeze()
            raise RuntimeError("the test broke")

    with pytest.raises(RuntimeError, match="the test broke"):
        await run_and_break()
    assert len(pids) == 2
    assert not any(is_pid_in_use(pid) for pid in pids)


async def test_cancelled_launcher_reaps_its_processes() -> None:
    pids: list[int] = []
    started = asyncio.Event()

    async def run() -> None:
        async with Launcher() as launcher:
            process = await launcher.start_module("a", "stand_ins.plain")
            pids.append(process.process.pid)
            started.set()
            await asyncio.Event().wait()

    task = asyncio.create_task(run())
    await started.wait()
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()
    assert not is_pid_in_use(pids[0])


async def test_frozen_process_answers_after_thaw(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    process = await launcher.start_module("a", "stand_ins.plain")
    process.freeze()
    with pytest.raises(httpx.ReadTimeout):
        await client.get(f"{process.url}/control", timeout=0.3)
    process.thaw()
    assert (await counters(client, process))["runs"] == 0
    assert await process.terminate(30.0) in (0, -15)


async def test_process_that_exits_before_it_is_ready_is_an_error(
    launcher: Launcher,
) -> None:
    with pytest.raises(StartError, match="No such option"):
        await launcher.start_module("a", "stand_ins.plain", ["--no-such"])


async def test_output_of_a_command_is_kept(launcher: Launcher) -> None:
    done = await launcher.run_module("help", "stand_ins.plain", ["--help"])
    assert done.process.returncode == 0
    assert done.output[0].startswith("Usage:")
