"""Tests of the polling client."""

from __future__ import annotations

import socket

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.transport.polling import PollingClient
from tests.raw_server import CLOSE, RESET, raw_server

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def test_connection_is_reused_after_any_complete_response() -> None:
    refused = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"
    async with raw_server([WHOLE, refused, WHOLE]) as server:
        client = PollingClient(server.url)
        answers = [
            await client.async_get("/load", query={"after": "1 2"}, timeout=10)
            for _ in range(3)
        ]
        await client.async_close()
    assert [(a.status, a.body) for a in answers] == [
        (200, b"ok"),
        (503, b""),
        (200, b"ok"),
    ]
    assert (server.connections, server.requests) == (1, 3)


@pytest.mark.parametrize(
    "answer",
    [
        None,  # The server closes the connection.
        RESET,  # The server resets the connection.
        b"",  # The server sends nothing.
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort" + CLOSE,
        b"no http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n" + b"x" * 99_999,
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * 1_000_000,
    ],
)
async def test_broken_response_raises_and_closes_the_connection(
    answer: bytes | None,
) -> None:
    async with raw_server([WHOLE, answer, WHOLE]) as server:
        client = PollingClient(server.url, max_response_bytes=50_000)
        await client.async_get("/load", timeout=10)
        with pytest.raises(TransportError) as caught:
            await client.async_get("/load", timeout=1)
        assert caught.value.sent
        assert (await client.async_get("/load", timeout=10)).body == b"ok"
        await client.async_close()
    assert (server.connections, server.requests) == (2, 3)


async def test_refused_connection_reports_nothing_sent() -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        client = PollingClient(f"http://127.0.0.1:{closed.getsockname()[1]}")
        with pytest.raises(TransportError) as caught:
            await client.async_get("/load", timeout=10)
    assert not caught.value.sent
