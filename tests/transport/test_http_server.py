"""Tests of the HTTP server, including malformed and hostile requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
from contextlib import asynccontextmanager

from hypothesis import example, given
from hypothesis import strategies as st
import pytest

from gypsumsail.core.clock import SystemClock
from gypsumsail.transport.http_reply import Reply
from gypsumsail.transport.http_request import HttpRequest, ServerLimits
from gypsumsail.transport.http_server import HttpServer
from tests.fuzzing import fuzz_settings
from tests.transport.framing import framed_bodies

LIMITS = ServerLimits(
    head_bytes=1_024, body_bytes=2_048, request_seconds=0.4, idle_seconds=0.8
)


class RecordingHandler:
    """Handler that records requests and echoes their bodies."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.refused: list[int] = []
        self.cancelled = 0
        self.delay = 0.0

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Reply with the body of the request."""
        self.requests.append(request)
        try:
            await asyncio.sleep(self.delay)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        reply.send(200, [], request.body)


@asynccontextmanager
async def serving(handler: RecordingHandler) -> AsyncIterator[HttpServer]:
    """Run a server on a free port."""
    server = HttpServer(handler.handle, LIMITS, SystemClock(), handler.refused.append)
    await server.async_start("127.0.0.1", 0)
    try:
        yield server
    finally:
        await server.async_stop()


async def send_and_receive(server: HttpServer, data: bytes, wait: float = 1.5) -> bytes:
    """Send bytes and return what arrives.

    Stops at data that ends with ``last``, when the connection is closed, or after
    ``wait`` seconds. Tests end the last body with ``last`` so that they do not wait
    for the timeout.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    found = b""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(wait):
            while piece := await reader.read(65_536):
                found += piece
                if found.endswith(b"last"):
                    break
    writer.close()
    return found


def request(body: bytes = b"", *lines: str, method: str = "POST") -> bytes:
    """Return a well-formed request with additional header lines."""
    head = [f"{method} /a HTTP/1.1", "Host: h", *lines]
    if not any(line.lower().startswith("transfer") for line in lines):
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


async def test_pipelined_requests_are_answered_in_order() -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        data = request(b"one") + request(b"two") + request(b"last")
        found = await send_and_receive(server, data)
    assert [item.body for item in handler.requests] == [b"one", b"two", b"last"]
    assert found.index(b"one") < found.index(b"two") < found.index(b"last")


async def test_chunked_body_is_reassembled() -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        chunks = b"3\r\nabc\r\n4\r\nlast\r\n0\r\n\r\n"
        await send_and_receive(server, request(chunks, "Transfer-Encoding: chunked"))
    assert handler.requests[0].body == b"abclast"


@pytest.mark.parametrize(
    "data",
    [
        request(b"abc", "Transfer-Encoding: chunked", "Content-Length: 3"),
        request(b"abc", "Content-Length: 3"),
        request(b"", "Transfer-Encoding: gzip, chunked"),
        request(b"abc", "Content-Length: +3").replace(b"Content-Length: 3\r\n", b""),
        b"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: h\r\nBad Header: x\r\n\r\n",
    ],
)
async def test_ambiguous_or_malformed_requests_are_rejected(data: bytes) -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        found = await send_and_receive(server, data)
    assert not handler.requests
    assert found.startswith(b"HTTP/1.1 400")


async def test_request_text_inside_a_body_is_not_parsed() -> None:
    handler = RecordingHandler()
    inner = request(b"", method="GET") + b"last"
    async with serving(handler) as server:
        await send_and_receive(server, request(inner))
    assert [item.body for item in handler.requests] == [inner]


async def test_oversized_head_is_rejected() -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        found = await send_and_receive(server, request(b"", "X: " + "x" * 2_000))
    assert found.startswith(b"HTTP/1.1 431")
    assert not handler.requests


@pytest.mark.parametrize(
    "data",
    [
        request(b"x" * 4_096),
        request(b"fff\r\n" + b"x" * 4_095, "Transfer-Encoding: chunked"),
    ],
)
async def test_oversized_body_is_rejected(data: bytes) -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        found = await send_and_receive(server, data)
    assert found.startswith(b"HTTP/1.1 413")
    assert not handler.requests


async def test_slow_request_times_out() -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        found = await send_and_receive(server, request(b"abc")[:-1], wait=2.0)
    assert found.startswith(b"HTTP/1.1 408")
    assert handler.refused == [408]


async def test_idle_connection_is_closed() -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        async with asyncio.timeout(3.0):
            assert await reader.read() == b""
        writer.close()


async def test_disconnect_cancels_the_running_request() -> None:
    handler = RecordingHandler()
    handler.delay = 5.0
    async with serving(handler) as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(request(b"abc"))
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
    assert handler.cancelled == 1


async def test_draining_server_closes_connections_after_their_reply() -> None:
    handler = RecordingHandler()
    async with serving(handler) as server:
        server.drain()
        found = await send_and_receive(server, request(b"last"))
    assert b"connection: close" in found


async def test_aborted_reply_has_no_final_chunk() -> None:
    async def broken(request: HttpRequest, reply: Reply) -> None:
        reply.begin(200, [])
        reply.write(b"part")
        reply.abort()

    server = HttpServer(broken, LIMITS, SystemClock())
    await server.async_start("127.0.0.1", 0)
    found = await send_and_receive(server, request(b""))
    await server.async_stop()
    assert b"0\r\n\r\n" not in found


async def test_chunked_reply_to_head_has_no_body() -> None:
    async def stream(request: HttpRequest, reply: Reply) -> None:
        reply.begin(200, [])
        reply.write(b"part")
        reply.end()

    server = HttpServer(stream, LIMITS, SystemClock())
    await server.async_start("127.0.0.1", 0)
    found = await send_and_receive(server, request(b"", method="HEAD"), wait=0.3)
    await server.async_stop()
    assert found.endswith(b"\r\n\r\n")
    assert found.count(b"\r\n\r\n") == 1


async def test_handler_exception_results_in_status_500() -> None:
    async def failing(request: HttpRequest, reply: Reply) -> None:
        raise ValueError("unforeseen")

    server = HttpServer(failing, LIMITS, SystemClock())
    await server.async_start("127.0.0.1", 0)
    found = await send_and_receive(server, request(b""), wait=0.3)
    await server.async_stop()
    assert found.startswith(b"HTTP/1.1 500")


@fuzz_settings(60)
@given(
    st.lists(
        st.sampled_from(
            [
                b"GET /a HTTP/1.1\r\n",
                b"Host: h\r\n",
                b"\r\n",
                b"Content-Length: 5\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"5\r\nabcde\r\n",
                b"0\r\n\r\n",
                b"abcde",
                b"\x00\xff",
            ]
        ),
        max_size=10,
    )
)
# A body of five bytes that look like the end of a chunked one.
@example(
    [
        b"GET /a HTTP/1.1\r\n",
        b"Host: h\r\n",
        b"Content-Length: 5\r\n",
        b"\r\n",
        b"0\r\n\r\n",
    ]
)
@example(
    [
        b"GET /a HTTP/1.1\r\n",
        b"Host: h\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"5\r\nabcde\r\n",
        b"0\r\n\r\n",
        b"GET /a HTTP/1.1\r\n",
        b"Host: h\r\n",
        b"\r\n",
    ]
)
def test_server_keeps_serving_after_arbitrary_input(pieces: list[bytes]) -> None:
    """Each request that is accepted has the body that its own head frames."""
    data = b"".join(pieces)

    async def run() -> None:
        handler = RecordingHandler()
        async with serving(handler) as server:
            await send_and_receive(server, data, wait=0.05)
            accepted = [item.body for item in handler.requests]
            assert accepted == framed_bodies(data)[: len(accepted)]
            found = await send_and_receive(server, request(b"last"))
            assert found.startswith(b"HTTP/1.1 200")
            assert [item.body for item in handler.requests[len(accepted) :]] == [
                b"last"
            ]

    asyncio.run(run())


async def test_stop_accepting_closes_only_idle_connections() -> None:
    handler = RecordingHandler()
    handler.delay = 0.3
    async with serving(handler) as server:
        idle_reader, idle_writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        busy = asyncio.create_task(send_and_receive(server, request(b"last")))
        await asyncio.sleep(0.1)
        server.stop_accepting()
        async with asyncio.timeout(0.5):
            assert await idle_reader.read() == b""
        assert b"last" in await busy
        idle_writer.close()
