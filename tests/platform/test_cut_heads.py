"""Tests of targets that stop in the middle of an answer's head and close."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gypsumsail.core.errors import TransportError
from gypsumsail.transport.exchange import ExchangeConnection
from tests.gateway.common import document, engine, route, stream_route, target
from tests.platform.scripted_targets import (
    CLOSE,
    ID,
    SIGNED,
    ScriptedServer,
    Step,
    gateway_before,
    serve,
    served,
)

NAMED = b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: id-1\r\n" + SIGNED + b"\r\n"
HEADS = {
    "length": NAMED + b"Content-Length: 12\r\n\r\n",
    "no body": NAMED + b"Content-Length: 0\r\n\r\n",
    "chunks": NAMED + b"Transfer-Encoding: chunked\r\n\r\n",
    "no length": NAMED + b"\r\n",
    "lines end with LF": (NAMED + b"Content-Length: 0\r\n\r\n").replace(b"\r\n", b"\n"),
    "interim answer": b"HTTP/1.1 100 Continue\r\n\r\n" + NAMED + b"\r\n",
    "no content": NAMED.replace(b"200", b"204") + b"\r\n",
    "error": NAMED.replace(b"200", b"500") + b"Content-Length: 0\r\n\r\n",
}
OTHER = b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: id-0\r\nContent-Length: 0\r\n\r\n"


class _Transport:
    """Transport of a connection that sends nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None

    def get_extra_info(self, name: str) -> Any:
        """Return a socket that takes any option."""
        return self

    def is_closing(self) -> bool:
        """Return that the connection is open."""
        return False


def read_cut(data: bytes) -> ExchangeConnection:
    """Return a connection that got some bytes and was then closed in order."""
    connection = ExchangeConnection()
    connection.connection_made(_Transport())  # type: ignore[arg-type]
    connection.send(
        b"GET / HTTP/1.1\r\n\r\n",
        (b"gypsumsail-request-id", b"id-1"),
        limit_seconds=2.0,
    )
    if data:
        connection.data_received(data)
    connection.connection_lost(None)
    return connection


@pytest.mark.parametrize("before", [b"", OTHER], ids=["first", "after another answer"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
async def test_head_that_was_cut_anywhere_is_no_answer(
    head: bytes, before: bytes
) -> None:
    # Without the last byte the last line may seem to have ended.
    for cut in range(len(head)):
        connection = read_cut(before + head[:cut])
        assert not connection.is_reusable
        with pytest.raises(TransportError):
            await connection.async_wait_for_head()


CUTS = {
    "in the status": b"HTTP/1.1 2",
    "after the status line": b"HTTP/1.1 200 S\r\n",
    "in a name": b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: " + ID + b"\r\nGyps",
    "before the framing": b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: "
    + ID
    + b"\r\n"
    + SIGNED
    + b"\r\n",
    "in the length": b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: "
    + ID
    + b"\r\n"
    + SIGNED
    + b"\r\nContent-Length: 1",
    "before the last line": b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: "
    + ID
    + b"\r\n"
    + SIGNED
    + b"\r\nContent-Length: 12\r\n",
    "in the last line": b"HTTP/1.1 200 S\r\nGypsumsail-Request-Id: "
    + ID
    + b"\r\n"
    + SIGNED
    + b"\r\nContent-Length: 12\r\n\r",
}


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS.keys())
async def test_caller_gets_no_success_for_a_cut_head(
    cut: bytes, is_stream: bool
) -> None:
    script: list[Step] = [cut, CLOSE]
    server = ScriptedServer([script, script])
    async with served(server) as addresses:
        if is_stream:
            entry = engine("e1", address=addresses[0])
            routing = document(stream_route(max_targets=1, timeout=2.0))
        else:
            entry = target("t1", address=addresses[0])
            routing = document(route(max_targets=1, timeout=2.0))
        gw = gateway_before(entry, routing=routing)
        async with asyncio.timeout(5.0):
            reply = await serve(gw, path="/s/x" if is_stream else "/a/x")
    assert reply.status is not None
    assert reply.status >= 500
    assert not reply.body.startswith(b"HTTP")
    assert (b"Gypsumsail-Server-Stamp".lower(), b"s") not in [
        (name.lower(), value) for name, value in reply.headers
    ]
