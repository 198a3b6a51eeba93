"""Tests that calls of the clients for own protocols don't arrive after their end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal
from typing import Any, Final

import httpx
import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.targets.stream import EngineStreams
from gypsumsail.transport.client import HttpClient
from gypsumsail.transport.connection import StreamConnection
from gypsumsail.transport.polling import PollingClient
from gypsumsail.transport.pool import StreamConnectionPool
from tests.held_bytes import calling_process, holding_listener
from tests.targets.common import engine_request

CALL_SECONDS: Final = 0.4
# The kernel sends again after 0.2, 0.6, 1.4 and 3.0 s.
ARRIVAL_SECONDS: Final = 4.0

CALLER: Final = """
import asyncio, sys
from tests.transport import test_given_up_own_calls as calls

async def main():
    is_connected = asyncio.Event()

    def wait():
        print("connected", flush=True)
        sys.stdin.readline()
        is_connected.set()

    url = f"http://127.0.0.1:{sys.argv[2]}"
    call = asyncio.create_task(calls.CALLS[sys.argv[1]](url, wait))
    await is_connected.wait()
    await asyncio.sleep(0.1)
    print("sent", flush=True)
    await asyncio.gather(call, return_exceptions=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


def call_when_connected(pool: StreamConnectionPool, on_connected: Any) -> None:
    """Have a pool call a function when a connection is open."""
    acquire = pool.async_acquire

    async def async_acquire() -> StreamConnection:
        connection = await acquire()
        on_connected()
        return connection

    pool.async_acquire = async_acquire  # type: ignore[method-assign]


async def async_poll(url: str, on_connected: Callable[[], None]) -> None:
    """Make a call of the client for polling."""
    client = PollingClient(url)
    call_when_connected(client.pool, on_connected)
    await client.async_get("/load", timeout=CALL_SECONDS)


async def async_stream(url: str, on_connected: Callable[[], None]) -> None:
    """Send a request for tokens to an engine."""
    streams = EngineStreams(url)
    call_when_connected(streams.pool, on_connected)
    async for _ in streams.stream(engine_request(deadline=CALL_SECONDS)):
        pass


async def async_post(url: str, on_connected: Callable[[], None]) -> None:
    """Make a call of the client for all methods."""
    client = HttpClient(url, send_limit_seconds=CALL_SECONDS)

    async def async_trace(event: str, info: Any) -> None:
        if event == "connection.connect_tcp.complete":
            on_connected()

    async def async_add_trace(request: httpx.Request) -> None:
        request.extensions["trace"] = async_trace

    client.client.event_hooks = {"request": [async_add_trace], "response": []}
    await client.async_call("POST", "/state", timeout=CALL_SECONDS, body=b"{}")


CALLS: Final = {"poll": async_poll, "stream": async_stream, "post": async_post}
"""Calls that are given up after `CALL_SECONDS`."""


@pytest.mark.parametrize("kind", CALLS)
async def test_own_call_that_was_given_up_does_not_arrive_after_a_cut(
    kind: str,
) -> None:
    """The kernel used to go on sending it after the connection was closed."""
    async with holding_listener() as listener:
        url = f"http://127.0.0.1:{listener.port}"
        with pytest.raises(TransportError) as caught:
            await CALLS[kind](url, listener.hold)
        assert caught.value.sent
        await listener.async_release()
        assert await listener.async_read_arrivals(ARRIVAL_SECONDS) == []


@pytest.mark.parametrize("kind", ["stream", "post"])
@pytest.mark.parametrize("end", [signal.SIGKILL, signal.SIGSTOP])
async def test_own_call_of_a_process_that_ended_does_not_arrive_after_a_cut(
    kind: str, end: signal.Signals
) -> None:
    """No code of a process that is killed or paused can reset its connections."""
    async with (
        holding_listener() as listener,
        calling_process(listener, CALLER, kind) as process,
    ):
        process.send_signal(end)
        await asyncio.sleep(2 * CALL_SECONDS)
        await listener.async_release()
        assert await listener.async_read_arrivals(ARRIVAL_SECONDS) == []
