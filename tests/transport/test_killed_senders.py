"""Tests that the end of a process resets its connections at once."""

from __future__ import annotations

import signal

from tests.held_bytes import calling_process, holding_listener
from tests.transport.test_given_up_calls import ARRIVAL_SECONDS, CALLER


async def test_call_of_a_killed_process_does_not_arrive_within_its_time_limit() -> None:
    """The kernel's limit is not over yet: only the reset keeps the call back."""
    async with holding_listener() as listener:
        caller = CALLER.replace("timeout=0.4", "timeout=5.0")
        async with calling_process(listener, caller) as process:
            process.send_signal(signal.SIGKILL)
            await process.wait()
            await listener.async_release()
            assert await listener.async_read_arrivals(ARRIVAL_SECONDS) == []
