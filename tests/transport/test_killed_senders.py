"""Tests that the end of a process resets its connections at once."""

from __future__ import annotations

import asyncio
import signal
import sys

from tests.held_bytes import holding_listener
from tests.transport.test_given_up_calls import ARRIVAL_SECONDS, CALLER


async def test_call_of_a_killed_process_does_not_arrive_within_its_time_limit() -> None:
    """The kernel's limit is not over yet: only the reset keeps the call back."""
    async with holding_listener() as listener:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            CALLER.replace("timeout=0.4", "timeout=5.0"),
            str(listener.port),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env={"PYTHONPATH": "src"},
        )
        assert process.stdin is not None
        assert process.stdout is not None
        async with asyncio.timeout(20.0):
            assert await process.stdout.readline() == b"connected\n"
            listener.hold()
            process.stdin.write(b"\n")
            assert await process.stdout.readline() == b"sent\n"
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await listener.async_release()
        assert await listener.async_read_arrivals(ARRIVAL_SECONDS) == []
