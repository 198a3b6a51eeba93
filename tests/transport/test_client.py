"""Tests of the HTTP client."""

from __future__ import annotations

import logging
import socket
import ssl

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.transport.client import HttpClient, quote_path
from tests.raw_server import CLOSE, RESET, raw_server

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def test_refused_connection_reports_nothing_sent() -> None:
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        client = HttpClient(f"http://127.0.0.1:{closed.getsockname()[1]}")
        with pytest.raises(TransportError) as caught:
            await client.async_call("POST", "/p", body=b"x", timeout=10)
    assert not caught.value.sent
    await client.async_close()


@pytest.mark.parametrize(
    "answer",
    [
        None,  # The server closes the connection.
        RESET,  # The server resets the connection.
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort" + CLOSE,
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n" + CLOSE,
        b"no http at all\r\n\r\n" + CLOSE,
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n" + b"x" * 99999,
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * 200_000 + b"\r\n\r\n" + CLOSE,
    ],
)
async def test_incomplete_or_malformed_response_counts_as_sent(
    answer: bytes | None,
) -> None:
    async with raw_server([answer]) as server:
        client = HttpClient(server.url, max_response_bytes=50_000)
        with pytest.raises(TransportError) as caught:
            await client.async_call("POST", "/p", body=b"x", timeout=10)
        await client.async_close()
    assert caught.value.sent
    assert server.requests == 1


@pytest.mark.parametrize("loss", [None, RESET])
async def test_loss_of_a_reused_connection_counts_as_sent_and_is_not_retried(
    loss: bytes | None,
) -> None:
    async with raw_server([WHOLE, loss, WHOLE]) as server:
        client = HttpClient(server.url)
        assert (await client.async_call("GET", "/p", timeout=10)).body == b"ok"
        with pytest.raises(TransportError) as caught:
            await client.async_call("POST", "/p", body=b"x", timeout=10)
        await client.async_close()
    assert caught.value.sent
    assert (server.connections, server.requests) == (1, 2)


async def test_redirects_are_not_followed_and_missing_response_times_out() -> None:
    moved = b"HTTP/1.1 307 Moved\r\nlocation: /q\r\ncontent-length: 0\r\n\r\n"
    async with raw_server([moved, b""]) as server:
        client = HttpClient(server.url)
        assert (await client.async_call("POST", "/p", timeout=10)).status == 307
        with pytest.raises(TransportError) as caught:
            await client.async_call("POST", "/p", timeout=0.1)
        await client.async_close()
    assert caught.value.sent
    assert server.requests == 2


async def test_urls_stay_out_of_the_logs(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    async with raw_server([WHOLE]) as server:
        client = HttpClient(server.url)
        await client.async_call("GET", "/p", timeout=10)
        await client.async_close()
    assert caplog.records == []


def test_path_segments_are_quoted() -> None:
    assert quote_path("/a b/../%2F?x") == "/a%20b/%2E%2E/%252F%3Fx"


async def test_client_of_plain_http_loads_no_certificates(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def refuse(*args: object, **values: object) -> None:
        raise AssertionError("certificates were loaded")

    monkeypatch.setattr(ssl.SSLContext, "load_verify_locations", refuse)
    monkeypatch.setattr(ssl.SSLContext, "load_default_certs", refuse)
    await HttpClient("http://127.0.0.1:1").async_close()
