"""Tests of replies that were already begun or sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest, ServerLimits
from gypsumsail.transport.http_server import HttpServer

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
AGAIN: dict[str, Callable[[Reply], None]] = {
    "whole": lambda reply: reply.send(500, [], b"error"),
    "stream": lambda reply: reply.begin(200, []),
}


async def answer_of(handle: Callable[[Reply], None]) -> bytes:
    """Return all bytes that a caller receives until the connection ends."""

    async def async_handle(request: HttpRequest, reply: Reply) -> None:
        handle(reply)

    server = HttpServer(async_handle, ServerLimits(), SystemClock())
    await server.async_start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        writer.write(REQUEST)
        found = b""
        async with asyncio.timeout(0.5):
            while data := await reader.read(1_000):
                found += data
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
        await server.async_stop()
    return found


@pytest.mark.parametrize("again", AGAIN.values(), ids=list(AGAIN))
async def test_stream_carries_no_second_head(again: Callable[[Reply], None]) -> None:
    """Whoever replies twice breaks the stream off; it does not end as if complete."""

    def handle(reply: Reply) -> None:
        reply.begin(200, [])
        reply.write(b"id: 1\n\n")
        again(reply)

    found = await answer_of(handle)
    assert found.count(b"HTTP/1.1") <= 1
    assert b"error" not in found
    assert not found.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("again", AGAIN.values(), ids=list(AGAIN))
async def test_complete_reply_is_not_followed_by_another(
    again: Callable[[Reply], None],
) -> None:
    def handle(reply: Reply) -> None:
        reply.send(200, [], b"own")
        again(reply)

    assert (await answer_of(handle)).count(b"HTTP/1.1") == 1
